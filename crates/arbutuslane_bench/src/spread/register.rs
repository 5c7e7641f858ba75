//! Costs of quorum registers: memory per key and claims per second on one core.

use std::time::{Duration, Instant};

use arbutuslane_record::message::{Request, Response};
use arbutuslane_record::prelude::{Coordinator, Decision, Group, Kind, RegisterReplica, key};
use arbutuslane_record::store::Limits;
use arbutuslane_wire::{codec, peer};

use super::memory;

/// The costs of registers.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// The number of keys held.
    pub keys: u32,
    /// Bytes of memory for each key at one replica.
    pub bytes: f64,
    /// Claims a second that one replica answers on one core, with decoding and encoding.
    pub replica: f64,
    /// Claims a second that one coordinator decides on one core, with encoding for 5 members.
    pub coordinator: f64,
    /// Bytes of an encoded claim and of its answer.
    pub message: (usize, usize),
    /// Bytes of a register in the encoded page of a pull.
    pub copy: f64,
}

fn group() -> Group {
    Group::founded(1, &[("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1)])
}

/// Claims `keys` registers at one replica and measures it.
pub fn measure(keys: u32) -> Cost {
    let limits = Limits { registers: 1 << 28, answer_bytes: 1 << 20 };
    let mut seat = RegisterReplica::join_with(Duration::ZERO, "a", 1, group(), limits);
    let claim = |number: u32| {
        let key = key::of("bookings", &format!("order-{number}"));
        Coordinator::claim(group(), key, u128::from(number) << 64 | 7, 3, Kind::Booking)
    };
    let before = memory::resident();
    for number in 0..keys {
        seat.handle(Duration::ZERO, &Request::Claim(claim(number).1));
    }
    let occupied = memory::resident().saturating_sub(before);
    let mut encoded = Vec::new();
    for number in keys..keys + 100_000 {
        let message = peer::Message::Register(Request::Claim(claim(number).1).into());
        encoded.push(codec::encode(&message).unwrap_or_default());
    }
    let began = Instant::now();
    let mut answer_bytes = 0;
    for bytes in &encoded {
        let Ok(peer::Message::Register(message)) = codec::decode(bytes) else { continue };
        let response = seat.handle(Duration::ZERO, &message.into());
        let answer = peer::Answer::Register(response.into());
        answer_bytes = codec::encode(&answer).map_or(0, |bytes| bytes.len());
    }
    let replica = 100_000.0 / began.elapsed().as_secs_f64();
    Cost {
        keys,
        bytes: occupied as f64 / f64::from(keys),
        replica,
        coordinator: coordinate(),
        message: (encoded[0].len(), answer_bytes),
        copy: copy_bytes(&mut seat),
    }
}

fn copy_bytes(seat: &mut RegisterReplica) -> f64 {
    let node = "b".to_string();
    let pull = Request::Pull { shard: 1, epoch: 1, node, incarnation: 1, cursor: 0 };
    let page = seat.handle(Duration::ZERO, &pull);
    let Response::Page { copies, .. } = &page else { return 0.0 };
    let count = copies.len() as f64;
    let answer = peer::Answer::Register(page.into());
    codec::encode(&answer).map_or(0.0, |bytes| bytes.len() as f64 / count)
}

fn coordinate() -> f64 {
    let response = Response::Claim {
        epoch: 1,
        incarnations: vec![1; 5],
        result: arbutuslane_record::message::ClaimResult::Accepted,
    };
    let answer = codec::encode(&peer::Answer::Register(response.into())).unwrap_or_default();
    let began = Instant::now();
    let mut dispatched = 0;
    for number in 0..50_000_u32 {
        let key = key::of("bookings", &format!("order-{number}"));
        let (mut coordinator, claim) =
            Coordinator::claim(group(), key, u128::from(number), 3, Kind::Booking);
        for member in ["a", "b", "c", "d", "e"] {
            let message = peer::Message::Register(Request::Claim(claim.clone()).into());
            let bytes = codec::encode(&message).unwrap_or_default();
            assert!(!bytes.is_empty());
            let Ok(peer::Answer::Register(answer)) = codec::decode(&answer) else { continue };
            if coordinator.replied(member, &answer.into()) == Some(Decision::Dispatch) {
                dispatched += 1;
            }
        }
    }
    f64::from(dispatched) / began.elapsed().as_secs_f64()
}
