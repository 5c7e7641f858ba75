//! Stories of requests, from lines that real processes wrote.

use arbutuslane_cli::explain::{Line, Story};

const LOG: &str = include_str!("logs/failures.log");

fn story(id: &str) -> Story {
    let lines: Vec<Line> = LOG.lines().filter_map(Line::parse).collect();
    Story::of(id, '.', &lines)
}

fn detail<'a>(story: &'a Story, step: usize, key: &str) -> Option<&'a str> {
    let mut details = story.steps[step].details.iter();
    details.find(|(known, _)| known == key).map(|(_, value)| value.as_str())
}

/// Guards against a refusal whose cause, a service without a free slot, is not in its story.
#[test]
fn of_refused() {
    let story = story("009e0172f4be25e2");
    assert_eq!(story.outcome.as_deref(), Some("not-run"));
    let last = story.steps.len() - 1;
    assert_eq!(story.steps[last].event, "request");
    assert_eq!(detail(&story, last, "status"), Some("503"));
    let choices: Vec<Option<&str>> = (0..last).map(|step| detail(&story, step, "choice")).collect();
    assert!(choices.contains(&Some("Full")) && choices.contains(&Some("Suspect")));
    let judged = story.steps.iter().filter(|step| step.event == "server-judged").count();
    assert!(judged > 0, "what was believed of the servers is missing");
}

/// Guards against an unknown outcome that cannot be traced to the server that broke off.
#[test]
fn of_unknown() {
    let story = story("afe574f4eebade5b");
    assert_eq!(story.outcome.as_deref(), Some("unknown"));
    let broke =
        (0..story.steps.len()).find(|step| detail(&story, *step, "outcome") == Some("Unknown"));
    assert_eq!(detail(&story, broke.unwrap(), "server"), Some("i-0eae2d517e"));
}

/// Guards against calls of a server that are missing from the story of the request it ran.
#[test]
fn of_calls() {
    let story = story("00043e0d3be2b7f6");
    assert_eq!(story.outcome.as_deref(), Some("answered"));
    let calls = story.steps.iter().filter(|step| step.request.contains('.')).count();
    assert!(calls >= 4, "{calls}");
    assert_eq!(story.steps.last().unwrap().request, "00043e0d3be2b7f6");
    assert!(story.to_string().contains("call=00043e0d3be2b7f6."));
}

/// Guards against a request that is told as answered although no log names it.
#[test]
fn of_nothing() {
    let story = story("0000000000000000");
    assert!(story.steps.is_empty() && story.outcome.is_none());
}
