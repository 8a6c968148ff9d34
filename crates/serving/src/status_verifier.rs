//! Verifies what an endpoint says of itself.
//!
//! Purpose: a status is stored by every instance, told to all others and in part put
//! into the replicated log. One that is refused where it is decoded reaches none of them.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use mulberrywell_wire::serving::{EndpointPhase, EndpointStatus};

/// Longest id, name, zone or version, in bytes.
const NAME_BYTES_MAX: usize = 256;

/// Most bytes of all names in a status: some thousands of models and adapters. Hundreds
/// of the largest statuses fit into one frame.
const STATUS_BYTES_MAX: usize = 64 * 1024;

/// Bytes that each name in a status takes in addition to its text, in an encoded frame.
const NAME_OVERHEAD: usize = 16;

/// Why a status is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusFault {
    /// The endpoint has no id.
    NoId,
    /// A name exceeds its limit.
    LongName,
    /// All names together exceed their limit.
    TooLarge,
    /// The address is no IP address and port.
    Address,
}

impl fmt::Display for StatusFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StatusFault::NoId => f.write_str("the id is empty"),
            StatusFault::LongName => write!(f, "a name is longer than {NAME_BYTES_MAX} bytes"),
            StatusFault::TooLarge => {
                write!(f, "all names are longer than {STATUS_BYTES_MAX} bytes")
            }
            StatusFault::Address => f.write_str("the address is no IP address and port"),
        }
    }
}

/// Verifies the status of an endpoint.
///
/// # Errors
/// Fails if the endpoint has no id, a name or all names together are too long, or the
/// address of a present endpoint is no IP address and port.
pub fn verify_status(status: &EndpointStatus) -> Result<(), StatusFault> {
    if status.id.is_empty() {
        return Err(StatusFault::NoId);
    }
    let mut total = 0;
    for name in names(status) {
        if name.len() > NAME_BYTES_MAX {
            return Err(StatusFault::LongName);
        }
        total += name.len() + NAME_OVERHEAD;
    }
    if total > STATUS_BYTES_MAX {
        return Err(StatusFault::TooLarge);
    }
    if status.phase() != EndpointPhase::Gone && !is_address(&status.address) {
        return Err(StatusFault::Address);
    }
    Ok(())
}

/// Returns all names in a status.
pub(crate) fn names(status: &EndpointStatus) -> impl Iterator<Item = &Bytes> {
    let EndpointStatus {
        id,
        service,
        address,
        zone,
        software,
        ..
    } = status;
    let models = status.models.iter();
    let models = models.flat_map(|model| [&model.name].into_iter().chain(&model.adapters));
    [id, service, address, zone, software]
        .into_iter()
        .chain(models)
        .chain(&status.closing)
        .chain(&status.in_memory)
        .chain(&status.on_disk)
}

fn is_address(address: &Bytes) -> bool {
    let text = std::str::from_utf8(address);
    text.is_ok_and(|text| text.parse::<SocketAddr>().is_ok())
}
