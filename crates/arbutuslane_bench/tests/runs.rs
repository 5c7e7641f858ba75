//! Tests of short simulations of the whole decision code.

use std::time::Duration;

use arbutuslane_bench::prelude::*;
use arbutuslane_catalogue::prelude::Preference;

fn short(service: Service, fault: Fault, load: f64, seed: u64) -> Config {
    Config {
        fault,
        warm_up: Duration::from_secs(10),
        measured: Duration::from_secs(15),
        ..Config::new(service, Policy::Fleet(Preference::FastDetection), load, seed)
    }
}

/// Guards against a run whose result differs when it is repeated with the same seed.
#[test]
fn run_repeatable() {
    let config = short(service::all()[0], Fault::Straggler(10), 0.6, 71);
    let (first, second) = (run(&config), run(&config));
    assert_eq!(first.detection, second.detection);
    assert_eq!((first.in_time, first.retries), (second.in_time, second.retries));
}

/// Guards against a failing server that is not ejected, and a healthy one that is.
#[test]
fn run_failing() {
    for (index, service) in service::all().into_iter().enumerate() {
        let outcome = run(&short(service, Fault::Failing, 0.6, 72 + index as u64));
        assert!(outcome.detection.is_some(), "{}", service.name);
        assert_eq!(outcome.false_ejections, 0, "{}", service.name);
    }
}

/// Guards against ejections below the capacity floor when a failure domain or all servers are slow,
/// or half of them are lost.
#[test]
fn run_floor() {
    for service in service::all() {
        for fault in [Fault::SlowDomain, Fault::SlowService, Fault::HalfLost] {
            let outcome = run(&short(service, fault, 0.6, 73));
            assert!(outcome.max_permits <= service.servers - service.floor, "{}", service.name);
        }
    }
}

/// Guards against ejecting a server because of a slow route, a failing heavy caller or a cold start.
#[test]
fn run_no_fault_of_servers() {
    for service in service::all() {
        for fault in [Fault::SlowRoute, Fault::HeavyCaller, Fault::ColdStart] {
            let outcome = run(&short(service, fault, 0.6, 74));
            assert_eq!(outcome.ejections, 0, "{} {}", service.name, fault.name());
        }
    }
}

/// Guards against retries above 10% of requests plus the reserves of the six entries, and against a
/// goodput that collapses when callers resend during an overload.
#[test]
fn run_overload() {
    for service in service::all() {
        let mut config = short(service, Fault::None, 2.0, 75);
        config.caller_resends = 3;
        let outcome = run(&config);
        let bound = outcome.offered / 10 + 6 * 6;
        assert!(outcome.retries <= bound, "{}", service.name);
        let good = u32::try_from(outcome.in_time).expect("a short run");
        assert!(
            f64::from(good) > 0.8 * service.capacity() * 15.0,
            "{}: {good} requests",
            service.name
        );
    }
}
