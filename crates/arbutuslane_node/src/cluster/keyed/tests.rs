//! Tests of kept responses.

use super::*;

/// Guards against a kept response with a status that is none, which is repeated as a success.
#[test]
fn replay_status() {
    let replay_with = |status: u16| {
        let stored = StoredResponse { status, headers: Vec::new(), body: Vec::new().into() };
        replay(&stored).map(|response| response.status().as_u16()).map_err(|refusal| refusal.status)
    };
    for code in [0, 20, 99, 100, 101, 199, 600, 999, 1_000, u16::MAX] {
        assert_eq!(replay_with(code), Err(StatusCode::BAD_GATEWAY), "{code}");
    }
    for code in [200, 201, 302, 409, 500, 599] {
        assert_eq!(replay_with(code), Ok(code));
    }
}
