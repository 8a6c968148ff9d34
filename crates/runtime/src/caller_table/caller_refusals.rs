//! Refusals of input that is no complete request.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use mulberrywell_http1::{write_response_head, HeadError, RequestError};
use mulberrywell_wire::request::HeaderField;

use super::{CallerConnection, CallerPhase, CallerTable};

/// Seconds after which a caller should send a request again that has not arrived before
/// the process ends.
const RETRY_AFTER: &[u8] = b"1";

impl CallerTable {
    /// Refuses the requests that have not arrived completely on connections that are to
    /// close, as the process ends.
    pub fn refuse_incomplete(&mut self, now: Instant) {
        let retry_after = [HeaderField {
            name: Bytes::from_static(b"Retry-After"),
            value: Bytes::from_static(RETRY_AFTER),
        }];
        for (id, connection) in &mut self.connections {
            let record = self.listeners.get(&connection.listener);
            let is_reading = matches!(connection.phase, CallerPhase::Reading(_));
            // What has arrived and is not yet read may complete the request.
            if is_reading && record.is_some_and(|it| it.closing) && !connection.has_arrived() {
                connection.refuse(now, 503, &retry_after);
                self.dirty.push(*id);
            }
        }
    }
}

impl CallerConnection {
    /// Sends an error response to invalid or incomplete input and stops reading requests.
    pub(super) fn refuse(&mut self, now: Instant, status: u16, headers: &[HeaderField]) {
        self.phase = CallerPhase::Lingering(now);
        self.socket.input = BytesMut::new();
        let output = &mut self.socket.output;
        write_response_head(status, headers, Some(0), true, true, output);
    }
}

/// Returns the status of the response to invalid input.
pub(super) fn refusal_status(error: RequestError) -> u16 {
    match error {
        RequestError::Head(HeadError::TooLong) => 431,
        RequestError::BodyTooLong => 413,
        RequestError::Head(_) | RequestError::BadBody => 400,
    }
}
