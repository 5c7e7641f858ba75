//! Measures the quotas of workspaces: `cargo run --release -p arbutuslane_limit --example allowance`.
//!
//! Prints two tables: refusals and excess over the bound in simulated fleets with faults, and the cost
//! of decisions and loans.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use arbutuslane_core::time::Time;
use arbutuslane_limit::allowance::{Bounds, Decision, Ledger, Lender, Quota};

mod fleet;

use fleet::{Fault, Kind, LENDERS, Plan, run};

/// The number of runs of each cell, with the seeds from 1 on.
const SEEDS: u64 = 3;

/// Refusals are counted from this time on, when the balances of lenders have filled.
const WARM_UP: Duration = Duration::from_secs(60);

/// The length of a run; faults last from the end of the warm-up on.
const RUN: Duration = Duration::from_secs(120);

fn main() {
    print_fleets();
    print_costs();
}

/// Returns the faults of each row of the table.
fn scenarios(entries: usize) -> Vec<(&'static str, f64, Vec<Fault>)> {
    let (start, end) = (WARM_UP, RUN);
    let lasting = |kind: Kind| vec![Fault { kind, during: start..end }];
    let freezes = |kind: &dyn Fn(usize) -> Kind| -> Vec<Fault> {
        let start_of = |index: u32| start + Duration::from_secs(10) * index;
        let during = (0..5).map(|index| start_of(index)..start_of(index) + Duration::from_secs(5));
        during.enumerate().map(|(index, during)| Fault { kind: kind(index), during }).collect()
    };
    vec![
        ("no fault", 0.0, Vec::new()),
        ("5% of messages lost", 0.05, Vec::new()),
        ("20% of messages lost", 0.2, Vec::new()),
        (
            "half of the entries freeze for 5 s",
            0.0,
            freezes(&|_| Kind::EntryFrozen(0..entries / 2)),
        ),
        (
            "lenders freeze in turn for 5 s",
            0.0,
            freezes(&|index| Kind::LenderFrozen(index..index + 1)),
        ),
        ("all lenders freeze for 5 s", 0.0, freezes(&|_| Kind::LenderFrozen(0..LENDERS))),
        ("1 lender lost", 0.0, lasting(Kind::LenderDown(0..1))),
        ("2 lenders lost", 0.0, lasting(Kind::LenderDown(0..2))),
        ("all lenders lost", 0.0, lasting(Kind::LenderDown(0..LENDERS))),
        ("a third of the entries cut off", 0.0, lasting(Kind::EntryCut(0..entries / 3))),
        ("half of the entries cut off", 0.0, lasting(Kind::EntryCut(0..entries / 2))),
    ]
}

fn print_fleets() {
    println!(
        "| fault | rate | entries | refused at 1/1.6 of the quota | messages a request | largest window at 7.5 x, of the bound |"
    );
    println!("|---|---|---|---|---|---|");
    let names = scenarios(3).len();
    for index in 0..names {
        for (rate, burst) in [(1.0, 5.0), (100.0, 50.0)] {
            let mut cells: [Vec<String>; 3] = Default::default();
            for entries in [10, 68, 300] {
                let (_, lost, faults) = scenarios(entries).swap_remove(index);
                let quota = Quota { rate, burst };
                // A run of a small workspace has few requests.
                let seeds = if rate < 10.0 { SEEDS * 10 } else { SEEDS };
                let (mut refused, mut messages, mut excess) = (0.0, 0.0, 0.0_f64);
                for seed in 1..=seeds {
                    let mut plan = Plan::usual(entries, quota, seed);
                    (plan.lost, plan.faults) = (lost, faults.clone());
                    plan.length = RUN;
                    let usual = run(&plan);
                    refused += usual.wrongly_refused(quota, WARM_UP) / seeds as f64;
                    messages += usual.messages as f64 / usual.decisions.len() as f64 / seeds as f64;
                    plan.surge = plan.load * 7.5 + 20.0;
                    let admitted = run(&plan).max_in_window(Time::ZERO) as f64;
                    excess = excess.max(admitted / Bounds::default().max_admitted(quota));
                }
                cells[0].push(format!("{:.2}%", refused * 100.0));
                cells[1].push(format!("{messages:.2}"));
                cells[2].push(format!("{:.0}%", excess * 100.0));
            }
            let name = scenarios(3)[index].0;
            let [refused, messages, excess] = cells.map(|cell| cell.join(", "));
            println!("| {name} | {rate} | 10, 68, 300 | {refused} | {messages} | {excess} |");
        }
    }
}

fn print_costs() {
    println!(
        "\n| workspaces | decision | decision with a loan | memory of an entry | memory of a lender |"
    );
    println!("|---|---|---|---|---|");
    for workspaces in [86_u32, 10_000, 100_000] {
        let names: Vec<String> =
            (0..workspaces).map(|index| format!("workspace-{index}")).collect();
        let bounds = Bounds::default();
        let before = resident_kib();
        let mut lender = Lender::new(bounds, Time::ZERO);
        let quota = Quota { rate: 1e6, burst: 100.0 };
        let now = Duration::from_secs(10);
        for name in &names {
            black_box(lender.lend(name, quota, LENDERS, 1, now));
        }
        let lender_kib = resident_kib() - before;
        let before = resident_kib();
        let mut ledger = Ledger::new(bounds, 1, Time::ZERO);
        let id = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000));
        let mut decide_all = |now: Time| {
            let started = Instant::now();
            for name in &names {
                while let Decision::Ask { lender: id, wanted } =
                    ledger.decide(name, quota, &[id], 68, now)
                {
                    let loan = lender.lend(name, quota, LENDERS, wanted, now);
                    ledger.record_loan(name, id, loan, now, now);
                }
            }
            started.elapsed() / workspaces
        };
        decide_all(now);
        let ledger_kib = resident_kib() - before;
        println!(
            "| {workspaces} | {:?} | {:?} | {ledger_kib} KiB | {lender_kib} KiB |",
            decide_all(now),
            decide_all(now)
        );
    }
}

/// Returns the resident memory of this process.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse().unwrap_or_default()
}
