//! Conversions between the serialized types and those of the state machine.

use arbutuslane_record::{message, permit};

use super::{Answer, Ask, Claim, Copy, Holding, Kept, Kind, Message, Refusal, U128Halves};

fn to_halves(number: u128) -> U128Halves {
    let low = number & u128::from(u64::MAX);
    (u64::try_from(number >> 64).unwrap_or(u64::MAX), u64::try_from(low).unwrap_or(u64::MAX))
}

fn from_halves((high, low): U128Halves) -> u128 {
    u128::from(high) << 64 | u128::from(low)
}

impl From<message::Kind> for Kind {
    fn from(kind: message::Kind) -> Self {
        match kind {
            message::Kind::Booking => Self::Booking,
            message::Kind::Exclusive => Self::Exclusive,
        }
    }
}

impl From<Kind> for message::Kind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Booking => Self::Booking,
            Kind::Exclusive => Self::Exclusive,
        }
    }
}

impl From<message::StoredResponse> for Kept {
    fn from(answer: message::StoredResponse) -> Self {
        Self { status: answer.status, headers: answer.headers, body: answer.body }
    }
}

impl From<Kept> for message::StoredResponse {
    fn from(kept: Kept) -> Self {
        Self { status: kept.status, headers: kept.headers, body: kept.body }
    }
}

impl From<message::Claim> for Claim {
    fn from(claim: message::Claim) -> Self {
        Self {
            shard: claim.shard,
            epoch: claim.epoch,
            key: to_halves(claim.key),
            attempt: to_halves(claim.attempt),
            fingerprint: claim.fingerprint,
            kind: claim.kind.into(),
        }
    }
}

impl From<Claim> for message::Claim {
    fn from(claim: Claim) -> Self {
        Self {
            shard: claim.shard,
            epoch: claim.epoch,
            key: from_halves(claim.key),
            attempt: from_halves(claim.attempt),
            fingerprint: claim.fingerprint,
            kind: claim.kind.into(),
        }
    }
}

impl From<permit::Operation> for Ask {
    fn from(operation: permit::Operation) -> Self {
        match operation {
            permit::Operation::Claim => Self::Claim,
            permit::Operation::Renew => Self::Renew,
            permit::Operation::Release => Self::Release,
        }
    }
}

impl From<Ask> for permit::Operation {
    fn from(ask: Ask) -> Self {
        match ask {
            Ask::Claim => Self::Claim,
            Ask::Renew => Self::Renew,
            Ask::Release => Self::Release,
        }
    }
}

impl From<message::Request> for Message {
    fn from(request: message::Request) -> Self {
        match request {
            message::Request::Claim(claim) => Self::Claim(claim.into()),
            message::Request::Withdraw { shard, key, attempt } => {
                Self::Withdraw { shard, key: to_halves(key), attempt: to_halves(attempt) }
            }
            message::Request::Complete { claim, answer } => {
                Self::Complete { claim: claim.into(), answer: answer.map(Kept::from) }
            }
            message::Request::Pull { shard, epoch, node, incarnation, cursor } => {
                Self::Pull { shard, epoch, node, incarnation, cursor }
            }
            message::Request::Permit(request) => Self::Permit {
                shard: request.shard,
                epoch: request.epoch,
                service: request.service,
                number: request.number,
                server: request.server,
                attempt: to_halves(request.attempt),
                severity: request.severity,
                ask: request.operation.into(),
                round: request.round,
            },
        }
    }
}

impl From<Message> for message::Request {
    fn from(message: Message) -> Self {
        match message {
            Message::Claim(claim) => Self::Claim(claim.into()),
            Message::Withdraw { shard, key, attempt } => {
                Self::Withdraw { shard, key: from_halves(key), attempt: from_halves(attempt) }
            }
            Message::Complete { claim, answer } => Self::Complete {
                claim: claim.into(),
                answer: answer.map(message::StoredResponse::from),
            },
            Message::Pull { shard, epoch, node, incarnation, cursor } => {
                Self::Pull { shard, epoch, node, incarnation, cursor }
            }
            Message::Permit {
                shard,
                epoch,
                service,
                number,
                server,
                attempt,
                severity,
                ask,
                round,
            } => Self::Permit(permit::Request {
                shard,
                epoch,
                service,
                number,
                server,
                attempt: from_halves(attempt),
                severity,
                operation: ask.into(),
                round,
            }),
        }
    }
}

impl From<message::Refusal> for Refusal {
    fn from(refusal: message::Refusal) -> Self {
        match refusal {
            message::Refusal::Recovering => Self::Recovering,
            message::Refusal::Epoch => Self::Epoch,
            message::Refusal::Withdrawn => Self::Withdrawn,
            message::Refusal::Full => Self::Full,
            message::Refusal::NoReplica => Self::NoReplica,
        }
    }
}

impl From<Refusal> for message::Refusal {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Recovering => Self::Recovering,
            Refusal::Epoch => Self::Epoch,
            Refusal::Withdrawn => Self::Withdrawn,
            Refusal::Full => Self::Full,
            Refusal::NoReplica => Self::NoReplica,
        }
    }
}

impl From<message::ClaimResult> for Holding {
    fn from(result: message::ClaimResult) -> Self {
        match result {
            message::ClaimResult::Accepted => Self::Accepted,
            message::ClaimResult::Taken { attempt, fingerprint, complete, answer } => Self::Taken {
                attempt: to_halves(attempt),
                fingerprint,
                complete,
                answer: answer.map(Kept::from),
            },
            message::ClaimResult::Refused(refusal) => Self::Refused(refusal.into()),
        }
    }
}

impl From<Holding> for message::ClaimResult {
    fn from(holding: Holding) -> Self {
        match holding {
            Holding::Accepted => Self::Accepted,
            Holding::Taken { attempt, fingerprint, complete, answer } => Self::Taken {
                attempt: from_halves(attempt),
                fingerprint,
                complete,
                answer: answer.map(message::StoredResponse::from),
            },
            Holding::Refused(refusal) => Self::Refused(refusal.into()),
        }
    }
}

impl From<message::RegisterCopy> for Copy {
    fn from(copy: message::RegisterCopy) -> Self {
        let attempts = copy.attempts.into_iter();
        Self {
            key: to_halves(copy.key),
            attempts: attempts.map(|(attempt, print)| (to_halves(attempt), print)).collect(),
            kind: copy.kind.into(),
            age: copy.age,
            complete: copy.complete,
            answer: copy.answer.map(|(age, answer)| (age, answer.into())),
        }
    }
}

impl From<Copy> for message::RegisterCopy {
    fn from(copy: Copy) -> Self {
        let attempts = copy.attempts.into_iter();
        Self {
            key: from_halves(copy.key),
            attempts: attempts.map(|(attempt, print)| (from_halves(attempt), print)).collect(),
            kind: copy.kind.into(),
            age: copy.age,
            complete: copy.complete,
            answer: copy.answer.map(|(age, kept)| (age, kept.into())),
        }
    }
}

impl From<message::Response> for Answer {
    fn from(response: message::Response) -> Self {
        match response {
            message::Response::Claim { epoch, incarnations, result } => {
                Self::Claim { epoch, incarnations, holding: result.into() }
            }
            message::Response::Page { epoch, voting, incarnations, copies, next } => {
                let copies = copies.into_iter().map(Copy::from).collect();
                Self::Page { epoch, voting, incarnations, copies, next }
            }
            message::Response::Permit(response) => Self::Permit {
                attempt: to_halves(response.attempt),
                round: response.round,
                granted: response.granted,
                waiting: response.waiting,
                free: response.free,
            },
            message::Response::Done => Self::Done,
        }
    }
}

impl From<Answer> for message::Response {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Claim { epoch, incarnations, holding } => {
                Self::Claim { epoch, incarnations, result: holding.into() }
            }
            Answer::Page { epoch, voting, incarnations, copies, next } => {
                let copies = copies.into_iter().map(message::RegisterCopy::from).collect();
                Self::Page { epoch, voting, incarnations, copies, next }
            }
            Answer::Permit { attempt, round, granted, waiting, free } => {
                let attempt = from_halves(attempt);
                Self::Permit(permit::Response { attempt, round, granted, waiting, free })
            }
            Answer::Done => Self::Done,
        }
    }
}
