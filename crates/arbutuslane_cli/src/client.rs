//! HTTP requests to control instances and nodes.

use ntex::client::{Client, ClientRequest};
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// The largest response body that is read. A catalogue of the target size takes a few megabytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends HTTP requests, with the operator token if it has one.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    client: Client,
    token: Option<String>,
}

/// A response that was received in full.
#[derive(Debug, Clone)]
pub(crate) struct Response {
    pub(crate) status: u16,
    body: Bytes,
}

/// Why no response was received.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{0}")]
pub(crate) struct RequestError(String);

impl HttpClient {
    /// Creates a client whose requests time out after `timeout_ms`.
    pub(crate) async fn new(token: Option<String>, timeout_ms: u64) -> Result<Self, Error> {
        let millis = u32::try_from(timeout_ms).unwrap_or(u32::MAX);
        let timeout = ntex::time::Millis(millis);
        let client = Client::builder()
            .disable_redirects()
            .response_timeout(timeout)
            .response_payload_timeout(timeout)
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|error| Error::Unreachable { attempts: error.to_string() })?;
        Ok(Self { client, token })
    }

    /// Returns the same client without the operator token, for listeners that need none.
    pub(crate) fn without_token(&self) -> Self {
        Self { client: self.client.clone(), token: None }
    }

    pub(crate) async fn get(&self, address: &str, path: &str) -> Result<Response, RequestError> {
        let request = self.client.get(format!("http://{address}{path}"));
        Self::read_response(self.prepare(request).send().await).await
    }

    pub(crate) async fn post<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        body: &T,
    ) -> Result<Response, RequestError> {
        let request = self.client.post(format!("http://{address}{path}"));
        Self::read_response(self.prepare(request).send_json(body).await).await
    }

    fn prepare(&self, request: ClientRequest) -> ClientRequest {
        // Each request opens a new connection, because an idle one may be dead without notice.
        let request = request.force_close();
        match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }

    async fn read_response<E: std::fmt::Display>(
        response: Result<ntex::client::ClientResponse, E>,
    ) -> Result<Response, RequestError> {
        let response = response.map_err(|error| RequestError(error.to_string()))?;
        let status = response.status().as_u16();
        let body = response.body().await.map_err(|error| RequestError(error.to_string()))?;
        Ok(Response { status, body })
    }
}

impl Response {
    /// Parses the body as JSON; an error names `address`.
    pub(crate) fn json<T: DeserializeOwned>(&self, address: &str) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::UnexpectedResponse {
            address: address.to_string(),
            problem: format!("status {}: {error}", self.status),
        })
    }

    /// Parses the body as JSON, or returns `None` when it is not a valid `T`.
    pub(crate) fn json_or_none<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}
