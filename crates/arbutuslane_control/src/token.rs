//! Secrets from files, which are reloaded without a restart and never logged.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use subtle::ConstantTimeEq;

use crate::settings::Settings;

/// The age of the cached tokens from which the file is read again.
const MAX_CACHE_AGE: Duration = Duration::from_secs(1);

/// One accepted token.
#[derive(Clone)]
struct Token {
    /// The operator who holds the token, if the file names one.
    name: Option<String>,
    secret: String,
}

/// The tokens of one file: one `secret` or `name secret` a line.
///
/// The type has no `Debug` form, so that no log line can hold a secret.
pub struct Tokens {
    /// `None` accepts every client, on a network that untrusted clients cannot reach.
    path: Option<PathBuf>,
    cached: Mutex<(Option<Instant>, Vec<Token>)>,
}

impl Tokens {
    /// Uses the file at `path`, which may appear later.
    pub fn new(path: &Path) -> Self {
        Self { path: Some(path.to_path_buf()), cached: Mutex::new((None, Vec::new())) }
    }

    /// Accepts every client; only for a network that untrusted clients cannot reach.
    pub fn accept_all() -> Self {
        Self { path: None, cached: Mutex::new((None, Vec::new())) }
    }

    /// Returns the holder's name, or an empty name, when `presented` is an accepted token.
    ///
    /// Every token of the file is compared in constant time, so that the time of a refusal does not
    /// reveal how much of a guess is right.
    pub fn holder(&self, presented: &str) -> Option<String> {
        if self.path.is_none() {
            return Some(String::new());
        }
        let mut found = None;
        for token in self.current_tokens() {
            let equal: bool = token.secret.as_bytes().ct_eq(presented.as_bytes()).into();
            if equal {
                found = Some(token.name.unwrap_or_default());
            }
        }
        found
    }

    /// Returns the first token of the file, which this process sends to others.
    pub fn own_secret(&self) -> Option<String> {
        self.current_tokens().first().map(|token| token.secret.clone())
    }

    fn current_tokens(&self) -> Vec<Token> {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if cached.0.is_none_or(|read| read.elapsed() >= MAX_CACHE_AGE) {
            // An unreadable file accepts no token.
            let text = self.path.as_ref().map(fs::read_to_string);
            let text = text.and_then(Result::ok).unwrap_or_default();
            *cached = (Some(Instant::now()), parse(&text));
        }
        cached.1.clone()
    }
}

/// The tokens of messages between processes.
pub struct Secrets {
    /// The fleet's tokens, for messages with nodes.
    pub(crate) fleet: Arc<Tokens>,
    /// The tokens of consensus messages between control instances.
    pub(crate) control: Arc<Tokens>,
}

impl Secrets {
    /// Uses the files that `settings` name.
    pub fn new(settings: &Settings) -> Self {
        Self {
            fleet: Arc::new(Tokens::new(&settings.peer_token)),
            control: Arc::new(Tokens::new(&settings.control_token)),
        }
    }
}

fn parse(text: &str) -> Vec<Token> {
    let mut tokens = Vec::new();
    for line in text.lines().map(str::trim) {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let token = match line.split_once(char::is_whitespace) {
            Some((name, secret)) => {
                Token { name: Some(name.to_string()), secret: secret.trim().to_string() }
            }
            None => Token { name: None, secret: line.to_string() },
        };
        tokens.push(token);
    }
    tokens
}
