//! Links from the entry to agents.
//!
//! A link is dialed when the first attempt needs it. Frames are queued until it
//! is open. If the dial fails, the queued frames were never sent, so their
//! attempts were not run.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mulberrywell_directory::EndpointName;
use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::config::EndpointItem;
use mulberrywell_wire::FrameBody;

/// State of the link to one agent.
#[derive(Debug)]
struct AgentLink {
    endpoint: EndpointName,
    address: SocketAddr,
    open: bool,
    /// Frames queued until the link is open; empty afterwards.
    waiting: Vec<FrameBody>,
}

/// The links by id, with one current link for each endpoint.
#[derive(Debug, Default)]
pub struct AgentLinks {
    links: BTreeMap<LinkId, AgentLink>,
    /// Each value is a key of `links`.
    current: BTreeMap<EndpointName, LinkId>,
}

impl AgentLinks {
    /// Sends a frame to an endpoint's agent, dialing a link if there is none.
    ///
    /// Returns none when the endpoint's address can't be parsed.
    pub fn send(
        &mut self,
        endpoint: &EndpointItem,
        body: FrameBody,
        next_link: &mut LinkId,
        commands: &mut Vec<LinkCommand>,
    ) -> Option<LinkId> {
        let address = parse_address(endpoint)?;
        if let Some(link) = self.current_link(&endpoint.name, address) {
            self.send_on(link, body, commands);
            return Some(link);
        }
        Some(self.dial(endpoint, address, vec![body], next_link, commands))
    }

    /// Opens a link to an endpoint's agent, if there is none.
    pub fn ensure_open(
        &mut self,
        endpoint: &EndpointItem,
        next_link: &mut LinkId,
        commands: &mut Vec<LinkCommand>,
    ) {
        let Some(address) = parse_address(endpoint) else {
            return;
        };
        if self.current_link(&endpoint.name, address).is_none() {
            self.dial(endpoint, address, Vec::new(), next_link, commands);
        }
    }

    fn dial(
        &mut self,
        endpoint: &EndpointItem,
        address: SocketAddr,
        waiting: Vec<FrameBody>,
        next_link: &mut LinkId,
        commands: &mut Vec<LinkCommand>,
    ) -> LinkId {
        let link = *next_link;
        *next_link += 2;
        commands.push(LinkCommand::Dial { link, address });
        self.current.insert(endpoint.name.clone(), link);
        let agent = AgentLink {
            endpoint: endpoint.name.clone(),
            address,
            open: false,
            waiting,
        };
        self.links.insert(link, agent);
        link
    }

    /// Sends a frame on a link, or queues it until the link is open.
    pub fn send_on(&mut self, link: LinkId, body: FrameBody, commands: &mut Vec<LinkCommand>) {
        match self.links.get_mut(&link) {
            Some(agent) if agent.open => commands.push(LinkCommand::Send { link, body }),
            Some(agent) => agent.waiting.push(body),
            None => {}
        }
    }

    /// Marks a link as open and sends its queued frames.
    pub fn handle_opened(&mut self, link: LinkId, commands: &mut Vec<LinkCommand>) {
        if let Some(agent) = self.links.get_mut(&link) {
            agent.open = true;
            let waiting = std::mem::take(&mut agent.waiting);
            commands.extend(
                waiting
                    .into_iter()
                    .map(|body| LinkCommand::Send { link, body }),
            );
        }
    }

    /// Removes a closed link; returns whether frames may have been sent on it,
    /// none for an unknown link.
    pub fn handle_closed(&mut self, link: LinkId) -> Option<bool> {
        let agent = self.links.remove(&link)?;
        if self.current.get(&agent.endpoint) == Some(&link) {
            self.current.remove(&agent.endpoint);
        }
        Some(agent.open)
    }

    fn current_link(&self, endpoint: &EndpointName, address: SocketAddr) -> Option<LinkId> {
        let link = *self.current.get(endpoint)?;
        (self.links.get(&link)?.address == address).then_some(link)
    }
}

fn parse_address(endpoint: &EndpointItem) -> Option<SocketAddr> {
    std::str::from_utf8(&endpoint.address).ok()?.parse().ok()
}
