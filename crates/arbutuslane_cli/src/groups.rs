//! The `groups` commands: the groups of the quorum registers.

use std::time::{Duration, Instant};

use arbutuslane_core::hash;
use arbutuslane_event::clock;
use arbutuslane_wire::operator;

use crate::client::Http;
use crate::error::Error;
use crate::exit::Code;
use crate::leader;
use crate::output;
use crate::settings::Settings;

/// How long the reset is sent again while no instance leads.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Resets the group of `shard` under `change_id`; without one, only warns and names the command.
pub(crate) async fn reset(
    shard: u32,
    change_id: Option<String>,
    settings: Settings,
    json: bool,
) -> Result<Code, Error> {
    eprintln!(
        "warning: a reset gives up the registers of shard {shard}. Idempotency keys of this shard \
         that were claimed in the last 24 h are no longer protected: a booking that is sent again \
         can run twice."
    );
    let Some(change_id) = change_id else {
        let text = format!("{shard} {} {}", clock::wall_ms(), std::process::id());
        eprintln!(
            "nothing was reset. To accept this, run:\n  arbutuslane groups reset {shard} --yes \
             --change-id reset-{shard}-{:016x}",
            hash::of_bytes(text.as_bytes())
        );
        return Ok(Code::Usage);
    };
    let http = Http::new(Some(settings.token()?), settings.timeout_ms).await?;
    let body = operator::GroupReset { change_id: change_id.clone() };
    let path = format!("/v1/groups/{shard}/reset");
    let limit = (Instant::now(), TIMEOUT);
    let (address, reply) = leader::post(&http, &settings, &path, &body, &change_id, limit).await?;
    if reply.status != 200 {
        return Err(leader::refused(&address, &reply));
    }
    let done: operator::GroupEpoch = reply.json(&address)?;
    if json {
        output::json(&done);
    } else {
        output::line(&format!("shard {} is reset, epoch {}", done.shard, done.epoch));
    }
    Ok(Code::Done)
}
