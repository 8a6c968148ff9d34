//! An HTTP client for tests that reads complete responses with status and
//! headers.

use std::io::Read;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use ureq::http::Request;

/// Default timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A response.
#[derive(Debug, Clone, Default)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body as far as it was received.
    pub body: String,
    /// Whether the body was received completely.
    pub complete: bool,
    /// Time until the first byte of the body.
    pub first_byte: Duration,
    /// Time until the end of the body.
    pub total: Duration,
}

impl HttpResponse {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let name = name.to_ascii_lowercase();
        self.headers
            .iter()
            .find(|(known, _)| *known == name)
            .map_or("", |(_, value)| value.as_str())
    }
}

/// Sends requests to one address with one API key.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    base: String,
    key: Option<String>,
    agent: ureq::Agent,
}

impl HttpCaller {
    /// Creates a caller with the default timeout.
    pub fn new(address: SocketAddr, key: Option<&str>) -> Self {
        Self::with_timeout(address, key, CALL_TIMEOUT)
    }

    /// Creates a caller whose calls time out after `timeout`.
    pub fn with_timeout(address: SocketAddr, key: Option<&str>, timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .max_redirects(0)
            .build();
        HttpCaller {
            base: format!("http://{address}"),
            key: key.map(ToOwned::to_owned),
            agent: config.into(),
        }
    }

    /// Sends a request and reads the response to its end.
    ///
    /// # Errors
    /// Fails if no response head was received.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<HttpResponse> {
        let started = Instant::now();
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        if let Some(key) = &self.key {
            builder = builder.header("Authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let configured = self
            .agent
            .configure_request(builder.body(body.to_owned())?)
            .allow_non_standard_methods(true)
            .build();
        let raw_response = self.agent.run(configured)?;
        let mut response = HttpResponse {
            status: raw_response.status().as_u16(),
            ..HttpResponse::default()
        };
        for (name, value) in raw_response.headers() {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            response.headers.push((name.as_str().to_owned(), value));
        }
        let mut reader = raw_response.into_body().into_reader();
        let mut content = Vec::new();
        let mut buf = [0; 4096];
        loop {
            match reader.read(&mut buf) {
                Ok(0) => {
                    response.complete = true;
                    break;
                }
                Ok(len) => {
                    if content.is_empty() {
                        response.first_byte = started.elapsed();
                    }
                    content.extend_from_slice(&buf[..len]);
                }
                Err(_) => break,
            }
        }
        response.total = started.elapsed();
        response.body = String::from_utf8_lossy(&content).into_owned();
        Ok(response)
    }

    /// Requests a chat completion.
    ///
    /// # Errors
    /// Fails if no response head was received.
    pub fn chat(
        &self,
        model: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Result<HttpResponse> {
        let body = serde_json::json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": tokens,
            "stream": stream,
        });
        let headers = [("Content-Type", "application/json")];
        self.call("POST", "/v1/chat/completions", &headers, &body.to_string())
    }
}
