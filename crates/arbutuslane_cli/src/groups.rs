//! The `groups` commands, which operate on the groups of the quorum registers.

use std::time::{Duration, Instant};

use arbutuslane_core::hash;
use arbutuslane_event::clock;
use arbutuslane_wire::operator;

use crate::client::HttpClient;
use crate::error::Error;
use crate::exit::Code;
use crate::leader;
use crate::output;
use crate::settings::Settings;

/// How long the reset is resent while there is no leader.
const RESEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Resets the group of `shard` under `change_id`. Without a change id, only prints a warning and
/// the command that confirms the reset.
pub(crate) async fn reset(
    shard: u32,
    change_id: Option<String>,
    settings: Settings,
    json: bool,
) -> Result<Code, Error> {
    eprintln!(
        "warning: a reset discards the registers of shard {shard}. Idempotency keys of this shard \
         that were claimed in the last 24 h are no longer protected: a booking that is sent again \
         can run twice."
    );
    let Some(change_id) = change_id else {
        let seed = format!("{shard} {} {}", clock::wall_ms(), std::process::id());
        eprintln!(
            "nothing was reset. To accept this, run:\n  arbutuslane groups reset {shard} --yes \
             --change-id reset-{shard}-{:016x}",
            hash::of_bytes(seed.as_bytes())
        );
        return Ok(Code::Usage);
    };
    let http = HttpClient::new(Some(settings.token()?), settings.timeout_ms).await?;
    let body = operator::GroupReset { change_id: change_id.clone() };
    let path = format!("/v1/groups/{shard}/reset");
    let time_limit = (Instant::now(), RESEND_TIMEOUT);
    let (address, response) =
        leader::post(&http, &settings, &path, &body, &change_id, time_limit).await?;
    if response.status != 200 {
        return Err(leader::refusal_error(&address, &response));
    }
    let group: operator::GroupEpoch = response.json(&address)?;
    if json {
        output::write_json(&group);
    } else {
        output::write_line(&format!("shard {} is reset, epoch {}", group.shard, group.epoch));
    }
    Ok(Code::Done)
}
