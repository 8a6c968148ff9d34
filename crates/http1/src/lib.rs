//! Parser and serializer for HTTP/1.1 messages (RFC 9112).
//!
//! Purpose: buffers each request of a caller until it is complete; returns the
//! responses of an endpoint piece by piece, so that events of a stream are
//! forwarded without delay. Both readers are fed bytes and own no socket,
//! thread or clock.
//!
//! Guarantees: an accepted message is unambiguous: conflicting lengths,
//! repeated lengths and unknown transfer codings are errors; bytes after a
//! message stay in the buffer; no byte outside a message's framing is read as
//! part of that message.
//!
//! Algorithm: `httparse` parses heads and chunk sizes; head fields and body
//! pieces are slices of the read buffer and are not copied, except that the data
//! of several chunks in the buffer is joined into one piece.

mod body_framing;
mod head_fields;
mod message_writer;
mod request_reader;
mod response_reader;

pub use body_framing::{BodyDecoder, BodyError, BodyFraming};
pub use head_fields::{header_number, list_has_token, HeadError};
pub use message_writer::{write_chunk, write_last_chunk, write_request_head, write_response_head};
pub use request_reader::{ReadRequest, RequestError, RequestLimits, RequestReader};
pub use response_reader::{ResponseHead, ResponseInput, ResponseReader};
