//! Measures commits and restarts of control instances on the loopback interface with a real disk.
//!
//! Usage: `measure commits COUNT` or `measure restart CHANGES`; `tools/catalogue.sh` runs both.

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use std::time::{Duration, Instant};

use cluster::{Cluster, change};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let measurement = arguments.next().unwrap_or_default();
    let count = arguments.next().and_then(|count| count.parse().ok()).unwrap_or(1_000);
    match measurement.as_str() {
        "commits" => commits(count),
        "restart" => restart(count),
        other => eprintln!("unknown measurement `{other}`; use commits or restart"),
    }
}

/// Sends `count` changes one after the other to the leader of three instances and prints the
/// percentiles of the commit time.
fn commits(count: u64) {
    let cluster = Cluster::start(3);
    let leader = cluster.leader();
    let mut times = apply(&cluster, leader, count);
    times.sort_unstable();
    let quantile = |thousandths: usize| times[(times.len() - 1) * thousandths / 1_000];
    println!(
        "commits={count} instances=3 p50={:?} p99={:?} max={:?}",
        quantile(500),
        quantile(990),
        quantile(1_000)
    );
}

/// Applies `changes` changes to one instance and prints how long it takes to serve them after a
/// restart.
fn restart(changes: u64) {
    let mut cluster = Cluster::start(1);
    cluster.leader();
    apply(&cluster, 0, changes);
    let mut total = Duration::ZERO;
    let mut opened = Duration::ZERO;
    for _ in 0..5 {
        cluster.kill(0);
        let start = Instant::now();
        cluster.start_instance(0);
        opened += start.elapsed();
        cluster.wait("the restart", || (cluster.revision(0) == Some(changes)).then_some(()));
        total += start.elapsed();
    }
    println!("restart changes={changes} runs=5 opened={:?} serving={:?}", opened / 5, total / 5);
}

/// Applies `count` changes and returns the time of each.
fn apply(cluster: &Cluster, leader: usize, count: u64) -> Vec<Duration> {
    let mut times = Vec::new();
    for revision in 0..count {
        let body =
            change(&format!("change-{revision}"), revision, if revision % 2 == 0 { 1 } else { 2 });
        let start = Instant::now();
        let response = cluster.send_request(leader, "POST", "/v1/changes", &body);
        times.push(start.elapsed());
        assert_eq!(response.map(|(code, _)| code), Some(200), "change {revision}");
    }
    times
}
