//! HTTP/1.1 messages (RFC 9112) as bytes come and go.
//!
//! Purpose: a caller's requests are read whole; an endpoint's answers are read
//! piece by piece, so that events of a stream go on at once. Both readers are
//! fed bytes and own no socket, thread or clock.
//!
//! Guarantees: a message that passes has one meaning only: lengths that
//! contradict each other, several lengths and unknown codings are faults; the
//! bytes after a message stay in the buffer; nothing is read as a part of a
//! message that its framing does not give it.
//!
//! Algorithm: `httparse` reads heads and chunk sizes; heads and bodies are
//! slices of the read buffer and are not copied.

mod answer_reader;
mod body_framing;
mod head_fields;
mod message_writer;
mod request_reader;

pub use answer_reader::{AnswerHead, AnswerInput, AnswerReader};
pub use body_framing::{BodyDecoder, BodyFault, BodyFraming};
pub use head_fields::{header_number, lists_token, HeadFault};
pub use message_writer::{write_answer_head, write_chunk, write_last_chunk, write_request};
pub use request_reader::{ReadRequest, RequestFault, RequestLimits, RequestReader};
