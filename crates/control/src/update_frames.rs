//! Division of updates into frames.

use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::serving::{EndpointStatus, ServingUpdate};
use mulberrywell_wire::FrameBody;
use prost::Message;

/// Bytes of statuses in one frame. A longer frame than the limit closes its link, and a
/// configuration of up to 4 MiB may be in the same one.
const STATUSES_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Appends the commands that send an update; statuses that don't fit into its first frame
/// follow in others.
pub(crate) fn push_update(
    link: LinkId,
    mut update: ServingUpdate,
    commands: &mut Vec<LinkCommand>,
) {
    let mut chunks = divide(std::mem::take(&mut update.endpoints)).into_iter();
    update.endpoints = chunks.next().unwrap_or_default();
    let rest = chunks.map(|endpoints| ServingUpdate {
        endpoints,
        ..ServingUpdate::default()
    });
    let updates = std::iter::once(update).chain(rest);
    commands.extend(updates.map(|update| {
        let body = FrameBody::ServingUpdate(update);
        LinkCommand::Send { link, body }
    }));
}

fn divide(statuses: Vec<EndpointStatus>) -> Vec<Vec<EndpointStatus>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for status in statuses {
        let len = status.encoded_len();
        if bytes + len > STATUSES_BYTES_MAX {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += len;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(status);
        }
    }
    chunks
}
