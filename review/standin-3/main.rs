//! The stand-ins of the cases of this review: `standin-3 CASE RECORD`, with `TROUBLE=0` without the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod record;
mod server;
mod site;

use std::panic::catch_unwind;
use std::process::exit;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How long a case may run.
const LIMIT: Duration = Duration::from_secs(118);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(record::Record::create(path));
    record.say(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let Some(run) = cases::find(case) else {
        eprintln!("no case {case}");
        exit(2);
    };
    spawn(|| {
        sleep(LIMIT);
        site::end_all();
        exit(2);
    });
    let played = Arc::clone(&record);
    let result = catch_unwind(move || run(&played, has_trouble));
    site::end_all();
    match result {
        Ok(false) => {
            record.say("the rule held");
            exit(0);
        }
        Ok(true) => {
            record.say("the rule was BROKEN");
            exit(1);
        }
        Err(_) => {
            record.say("the case could not run");
            exit(2);
        }
    }
}
