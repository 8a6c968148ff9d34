//! Client for the operators' API of the control instances.

use std::fmt;
use std::time::Duration;

use anyhow::{Context, Result};
use clap::ArgMatches;
use serde_json::Value;

use crate::file_check::{read_file, string_arg};

/// Timeout of a call to one control instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for connecting to one control instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Error when no control instance answered; whether a change was made is unknown.
#[derive(Debug)]
pub struct UnreachableError(String);

impl fmt::Display for UnreachableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no control instance answered: {}", self.0)
    }
}

impl std::error::Error for UnreachableError {}

/// An HTTP response of the API.
#[derive(Debug)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

/// Sends each call to the control instances in turn until one answers it.
#[derive(Debug)]
pub struct OperatorClient {
    addresses: Vec<String>,
    key: String,
    agent: ureq::Agent,
}

impl OperatorClient {
    /// Creates a client from the arguments that all operators' commands share.
    pub fn open(args: &ArgMatches) -> Result<Self> {
        let addresses = args.get_many::<String>("control").unwrap_or_default();
        let key = read_file(string_arg(args, "key-file"))?;
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Ok(OperatorClient {
            addresses: addresses.cloned().collect(),
            key: key.trim().to_owned(),
            agent: config.into(),
        })
    }

    /// Sends a GET request.
    pub fn get(&self, path: &str) -> Result<ApiResponse> {
        self.try_addresses(
            |url| {
                let request = self.agent.get(url);
                request.header("Authorization", &self.bearer()).call()
            },
            path,
        )
    }

    /// Sends a POST request that makes a change. The body carries a request id, so
    /// that a resend to another instance is idempotent.
    pub fn post(&self, path: &str, body: &Value) -> Result<ApiResponse> {
        self.try_addresses(
            |url| {
                let request = self.agent.post(url);
                request
                    .header("Authorization", &self.bearer())
                    .header("Content-Type", "application/json")
                    .send(body.to_string())
            },
            path,
        )
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }

    fn try_addresses(
        &self,
        call: impl Fn(&str) -> Result<ureq::http::Response<ureq::Body>, ureq::Error>,
        path: &str,
    ) -> Result<ApiResponse> {
        let mut last_failure = None;
        for address in &self.addresses {
            match call(&format!("http://{address}{path}")) {
                Ok(mut response) => {
                    let status = response.status().as_u16();
                    let text = response.body_mut().read_to_string()?;
                    let body = serde_json::from_str(&text)
                        .with_context(|| format!("answer of {address} is not JSON"))?;
                    if status == 503 {
                        last_failure = Some(format!("{address} is unavailable: {body}"));
                        continue;
                    }
                    return Ok(ApiResponse { status, body });
                }
                Err(err) => last_failure = Some(format!("{address}: {err}")),
            }
        }
        Err(UnreachableError(last_failure.unwrap_or_default()).into())
    }
}
