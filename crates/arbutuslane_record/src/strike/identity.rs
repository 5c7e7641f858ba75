//! Which requests are the same.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use arbutuslane_core::hash;

/// The number of bytes at the start of a body that belong to the request; the rest belongs to the variant.
pub const REQUEST_BODY_BYTES: usize = 16 << 10;

/// The hash of what the caller's resends of a request have in common.
pub type Fingerprint = u64;

/// The hash of what else a resend mostly repeats: other header fields and the rest of the body.
pub type Variant = u64;

/// Identifies a request that may crash servers.
///
/// Whether two variants are one request that changes with each resend, or two requests of which one is
/// innocent, is told by what happens to them; see [`Strikes`](super::Strikes).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Identity {
    /// The request; 0 if it is not known.
    pub request: Fingerprint,
    /// The variant of the request.
    pub variant: Variant,
}

/// What the resends of a request have in common.
#[derive(Debug, Clone, Copy, Default)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the request names, which selects its route together with the path.
    pub host: &'a str,
    /// The path and the query.
    pub target: &'a str,
    /// The service on whose instance the request originated, if it is known.
    pub origin: &'a str,
    /// The workspace, if the request has one.
    pub workspace: &'a str,
    /// The body or its start.
    pub body: &'a [u8],
}

impl Identity {
    /// Returns the identity of a request with this content and variant.
    pub fn new(content: &Content<'_>, variant: Variant) -> Self {
        Self { request: content.fingerprint(), variant }
    }

    /// Returns whether the request is known.
    pub fn is_known(&self) -> bool {
        self.request != 0
    }
}

impl Content<'_> {
    fn fingerprint(&self) -> Fingerprint {
        let host = self.host.rsplit_once(':').map_or(self.host, |(name, _)| name);
        let host = host.to_ascii_lowercase();
        let Self { method, target, origin, workspace, body, .. } = self;
        // None of these can contain a line break.
        let mut bytes = format!("{method} {target}\n{host}\n{origin}\n{workspace}\n").into_bytes();
        bytes.extend_from_slice(&body[..body.len().min(REQUEST_BODY_BYTES)]);
        hash::of_bytes(&bytes).max(1)
    }
}

impl Display for Identity {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.request, self.variant)
    }
}

/// A text that is no identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not an identity of 32 hexadecimal digits")]
pub struct ParseError;

impl FromStr for Identity {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (request, variant) = text.split_at_checked(16).ok_or(ParseError)?;
        let parse = |digits: &str| u64::from_str_radix(digits, 16).map_err(|_| ParseError);
        Ok(Self { request: parse(request)?, variant: parse(variant)? })
    }
}
