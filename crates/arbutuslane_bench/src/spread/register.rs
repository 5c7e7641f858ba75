//! The costs of quorum registers: memory per key and claims per second on one core.

use std::time::{Duration, Instant};

use arbutuslane_record::message::{Request, Response};
use arbutuslane_record::prelude::{Coordinator, Decision, Group, Kind, RegisterReplica, key};
use arbutuslane_record::store::Limits;
use arbutuslane_wire::{codec, peer};

use super::memory;

/// The costs of registers.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// The number of keys in the replica.
    pub keys: u32,
    /// Bytes of memory per key at one replica.
    pub bytes_per_key: f64,
    /// Claims per second that one replica handles on one core, with decoding and encoding.
    pub replica_claims_per_s: f64,
    /// Claims per second that one coordinator decides on one core, with encoding for 5 members and
    /// decoding their responses.
    pub coordinator_claims_per_s: f64,
    /// The encoded bytes of a claim and of its response.
    pub message_bytes: (usize, usize),
    /// Bytes per register in the encoded response to a pull.
    pub pull_bytes_per_key: f64,
}

fn group() -> Group {
    Group::founded(1, &[("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1)])
}

/// Measures one replica with `keys` claimed registers, and one coordinator.
pub fn measure(keys: u32) -> Cost {
    let limits = Limits { registers: 1 << 28, answer_bytes: 1 << 20 };
    let mut replica = RegisterReplica::join_with(Duration::ZERO, "a", 1, group(), limits);
    let claim = |number: u32| {
        let key = key::of("bookings", &format!("order-{number}"));
        Coordinator::claim(group(), key, u128::from(number) << 64 | 7, 3, Kind::Booking)
    };
    let before = memory::resident_bytes();
    for number in 0..keys {
        replica.handle(Duration::ZERO, &Request::Claim(claim(number).1));
    }
    let used_bytes = memory::resident_bytes().saturating_sub(before);
    let mut encoded = Vec::new();
    for number in keys..keys + 100_000 {
        let message = peer::Message::Register(Request::Claim(claim(number).1).into());
        encoded.push(codec::encode(&message).unwrap_or_default());
    }
    let started = Instant::now();
    let mut response_bytes = 0;
    for bytes in &encoded {
        let Ok(peer::Message::Register(message)) = codec::decode(bytes) else { continue };
        let response = replica.handle(Duration::ZERO, &message.into());
        let wire_response = peer::Answer::Register(response.into());
        response_bytes = codec::encode(&wire_response).map_or(0, |bytes| bytes.len());
    }
    let replica_claims_per_s = 100_000.0 / started.elapsed().as_secs_f64();
    Cost {
        keys,
        bytes_per_key: used_bytes as f64 / f64::from(keys),
        replica_claims_per_s,
        coordinator_claims_per_s: measure_coordinator(),
        message_bytes: (encoded[0].len(), response_bytes),
        pull_bytes_per_key: pull_bytes_per_key(&mut replica),
    }
}

/// Returns the bytes per register in the first page of a pull.
fn pull_bytes_per_key(replica: &mut RegisterReplica) -> f64 {
    let node = "b".to_string();
    let pull = Request::Pull { shard: 1, epoch: 1, node, incarnation: 1, cursor: 0 };
    let page = replica.handle(Duration::ZERO, &pull);
    let Response::Page { copies, .. } = &page else { return 0.0 };
    let count = copies.len() as f64;
    let response = peer::Answer::Register(page.into());
    codec::encode(&response).map_or(0.0, |bytes| bytes.len() as f64 / count)
}

/// Returns the claims per second that one coordinator decides.
fn measure_coordinator() -> f64 {
    let response = Response::Claim {
        epoch: 1,
        incarnations: vec![1; 5],
        result: arbutuslane_record::message::ClaimResult::Accepted,
    };
    let encoded = codec::encode(&peer::Answer::Register(response.into())).unwrap_or_default();
    let started = Instant::now();
    let mut dispatched = 0;
    for number in 0..50_000_u32 {
        let key = key::of("bookings", &format!("order-{number}"));
        let (mut coordinator, claim) =
            Coordinator::claim(group(), key, u128::from(number), 3, Kind::Booking);
        for member in ["a", "b", "c", "d", "e"] {
            let message = peer::Message::Register(Request::Claim(claim.clone()).into());
            let bytes = codec::encode(&message).unwrap_or_default();
            assert!(!bytes.is_empty());
            let Ok(peer::Answer::Register(response)) = codec::decode(&encoded) else { continue };
            if coordinator.replied(member, &response.into()) == Some(Decision::Dispatch) {
                dispatched += 1;
            }
        }
    }
    f64::from(dispatched) / started.elapsed().as_secs_f64()
}
