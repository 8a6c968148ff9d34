//! Refusals of input that is no complete request.

use std::time::Instant;

use bytes::Bytes;
use mulberrywell_http1::{write_response_head, HeadError, RequestError, RequestReader};
use mulberrywell_wire::request::HeaderField;

use super::{CallerConnection, CallerId, CallerPhase, CallerTable};

/// Seconds after which callers should send requests again that were not read; they are
/// divided among these, so that they don't return all at once.
const RETRY_AFTER: [&[u8]; 2] = [b"1", b"2"];

impl CallerTable {
    /// Refuses the requests that have not arrived completely on connections that are to
    /// close, as the process ends.
    pub fn refuse_incomplete(&mut self, now: Instant) {
        for (id, connection) in &mut self.connections {
            let record = self.listeners.get(&connection.listener);
            let is_reading = matches!(connection.phase, CallerPhase::Reading(_));
            // What has arrived and is not yet read may complete the request.
            if is_reading && record.is_some_and(|it| it.closing) && !connection.has_arrived() {
                connection.refuse(now, 503, &retry_after(*id));
                self.dirty.push(*id);
            }
        }
    }
}

impl CallerConnection {
    /// Sends an error response to invalid or incomplete input and stops reading requests.
    pub(super) fn refuse(&mut self, now: Instant, status: u16, headers: &[HeaderField]) {
        self.phase = CallerPhase::Lingering(now);
        self.socket.clear_input();
        self.reader = RequestReader::default();
        self.request_len = 0;
        self.is_reserved = false;
        self.charge.release_exchange();
        let output = &mut self.socket.output;
        write_response_head(status, headers, Some(0), true, true, output);
        let memory = self.memory();
        self.charge.set(memory);
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

/// Returns the field that tells a connection's caller when to send its request again.
pub(super) fn retry_after(id: CallerId) -> [HeaderField; 1] {
    let place = usize::try_from(id).unwrap_or(0) % RETRY_AFTER.len();
    [HeaderField {
        name: Bytes::from_static(b"Retry-After"),
        value: Bytes::from_static(RETRY_AFTER[place]),
    }]
}
