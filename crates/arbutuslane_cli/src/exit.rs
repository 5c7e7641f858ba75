//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded.
    Done = 0,
    /// The catalogue is invalid.
    Invalid = 1,
    /// The arguments, a settings file or a token file cannot be used.
    Usage = 2,
    /// Another change of the catalogue was accepted first; nothing was changed.
    Conflict = 3,
    /// No control instance responded, or there is no leader.
    Unreachable = 4,
    /// The fleet refused the request, for example because of the token.
    Refused = 5,
    /// The result is partial: some instances were not reached, or not yet at the revision.
    Partial = 6,
}

/// The table of exit codes in the output of `--help`.
pub const HELP: &str = "Exit codes:
  0  done
  1  the catalogue is invalid
  2  wrong arguments, settings or token file
  3  another change of the catalogue came first; nothing was changed
  4  no control instance answered, or none leads
  5  the fleet refused the request, for example because of the token
  6  partial result: some instances were not reached, or not yet at the revision";

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}
