//! Calls the operators' API of the control instances.

use std::fmt;
use std::time::Duration;

use anyhow::{Context, Result};
use clap::ArgMatches;
use serde_json::Value;

use crate::file_check::{read_file, text_arg};

/// Time that one control instance gets.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time to connect to one control instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// No control instance answered; whether a change was made is unknown.
#[derive(Debug)]
pub struct UnreachableError(String);

impl fmt::Display for UnreachableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no control instance answered: {}", self.0)
    }
}

impl std::error::Error for UnreachableError {}

/// An answer of the API.
#[derive(Debug)]
pub struct ApiAnswer {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

/// Talks to the first control instance that answers.
#[derive(Debug)]
pub struct OperatorClient {
    addresses: Vec<String>,
    key: String,
    agent: ureq::Agent,
}

impl OperatorClient {
    /// Opens a client with the arguments that all operators' commands have.
    pub fn open(args: &ArgMatches) -> Result<Self> {
        let addresses = args.get_many::<String>("control").unwrap_or_default();
        let key = read_file(text_arg(args, "key-file"))?;
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

    /// Reads from the API.
    pub fn get(&self, path: &str) -> Result<ApiAnswer> {
        self.try_each(
            |url| {
                let request = self.agent.get(url);
                request.header("Authorization", &self.bearer()).call()
            },
            path,
        )
    }

    /// Changes something by the API. The body carries a request id, so that a
    /// resend to another instance is idempotent.
    pub fn post(&self, path: &str, body: &Value) -> Result<ApiAnswer> {
        self.try_each(
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

    fn try_each(
        &self,
        call: impl Fn(&str) -> Result<ureq::http::Response<ureq::Body>, ureq::Error>,
        path: &str,
    ) -> Result<ApiAnswer> {
        let mut last = None;
        for address in &self.addresses {
            match call(&format!("http://{address}{path}")) {
                Ok(mut response) => {
                    let status = response.status().as_u16();
                    let text = response.body_mut().read_to_string()?;
                    let body = serde_json::from_str(&text)
                        .with_context(|| format!("{address} gave no JSON"))?;
                    if status == 503 {
                        last = Some(format!("{address} is not able to answer: {body}"));
                        continue;
                    }
                    return Ok(ApiAnswer { status, body });
                }
                Err(err) => last = Some(format!("{address}: {err}")),
            }
        }
        Err(UnreachableError(last.unwrap_or_default()).into())
    }
}
