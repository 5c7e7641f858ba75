//! HTTP requests to control instances and nodes.

use ntex::client::{Client, ClientRequest};
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// The largest response that is read: a catalogue of the target size takes a few megabytes.
const RESPONSE_MAX: usize = 64 << 20;

/// Sends requests, with the operator token where it has one.
#[derive(Debug, Clone)]
pub(crate) struct Http {
    client: Client,
    token: Option<String>,
}

/// A response that was received in full.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    body: Bytes,
}

/// Why no response was received.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{0}")]
pub(crate) struct Fault(String);

impl Http {
    /// Returns a client whose requests end after `timeout_ms`.
    pub(crate) async fn new(token: Option<String>, timeout_ms: u64) -> Result<Self, Error> {
        let millis = u32::try_from(timeout_ms).unwrap_or(u32::MAX);
        let timeout = ntex::time::Millis(millis);
        let client = Client::builder()
            .disable_redirects()
            .response_timeout(timeout)
            .response_payload_timeout(timeout)
            .response_payload_limit(RESPONSE_MAX)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|error| Error::Unreachable { tried: error.to_string() })?;
        Ok(Self { client, token })
    }

    /// Returns the same client without the operator token, for listeners that need none.
    pub(crate) fn without_token(&self) -> Self {
        Self { client: self.client.clone(), token: None }
    }

    pub(crate) async fn get(&self, address: &str, path: &str) -> Result<Reply, Fault> {
        let request = self.client.get(format!("http://{address}{path}"));
        Self::finish(self.authorize(request).send().await).await
    }

    pub(crate) async fn post<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        body: &T,
    ) -> Result<Reply, Fault> {
        let request = self.client.post(format!("http://{address}{path}"));
        Self::finish(self.authorize(request).send_json(body).await).await
    }

    fn authorize(&self, request: ClientRequest) -> ClientRequest {
        // A connection of its own for each request: an idle one may have gone silent.
        let request = request.force_close();
        match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }

    async fn finish<E: std::fmt::Display>(
        response: Result<ntex::client::ClientResponse, E>,
    ) -> Result<Reply, Fault> {
        let response = response.map_err(|error| Fault(error.to_string()))?;
        let status = response.status().as_u16();
        let body = response.body().await.map_err(|error| Fault(error.to_string()))?;
        Ok(Reply { status, body })
    }
}

impl Reply {
    /// Returns the value that the body holds.
    pub(crate) fn json<T: DeserializeOwned>(&self, address: &str) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Response {
            address: address.to_string(),
            problem: format!("status {}: {error}", self.status),
        })
    }

    /// Returns the value that the body holds, or nothing when it holds none of that type.
    pub(crate) fn json_or_none<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}
