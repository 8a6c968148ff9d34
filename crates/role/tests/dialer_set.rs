//! Which addresses a set of dialers dials, and what it keeps.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mulberrywell_role::{DialerSet, LinkCommand, LinkId};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn dialed(dialers: &mut DialerSet, now: Instant) -> Vec<(LinkId, SocketAddr)> {
    let mut commands = Vec::new();
    dialers.dial(now, &mut commands);
    let dials = commands.into_iter().filter_map(|command| match command {
        LinkCommand::Dial { link, address } => Some((link, address)),
        _ => None,
    });
    dials.collect()
}

/// Dialers of the ports 1 and 2, over the links 2 and 4.
fn dialing(now: Instant) -> DialerSet {
    let mut dialers = DialerSet::default();
    dialers.set_addresses(now, &BTreeSet::from([address(1), address(2)]));
    let dials = dialed(&mut dialers, now);
    assert_eq!(dials, [(2, address(1)), (4, address(2))]);
    dialers
}

#[test]
fn dial_each_address_once() {
    let now = Instant::now();
    let mut dialers = dialing(now);
    assert_eq!(dialed(&mut dialers, now), []);
    assert_eq!(dialers.deadline(), None);
}

#[test]
fn dial_closed_link_again() {
    let now = Instant::now();
    let mut dialers = dialing(now);
    dialers.opened(2);
    dialers.opened(4);
    dialers.closed(now, 2);
    let at = dialers.deadline().unwrap();
    assert!(at > now);
    assert_eq!(dialed(&mut dialers, at), [(6, address(1))]);
}

#[test]
fn set_addresses_former_kept_until_closed() {
    let now = Instant::now();
    let mut dialers = dialing(now);
    dialers.opened(4);
    dialers.set_addresses(now, &BTreeSet::new());
    // The other one was still being dialed.
    dialers.opened(2);
    let open: Vec<_> = dialers.open_links().collect();
    assert_eq!(open, [(address(1), 2), (address(2), 4)]);
    dialers.closed(now, 2);
    assert_eq!(dialers.open_links().count(), 1);
    assert_eq!(dialed(&mut dialers, now + Duration::from_secs(9)), []);
}

#[test]
fn set_addresses_changing_dials_once() {
    let now = Instant::now();
    let mut dialers = dialing(now);
    for _ in 0..5 {
        dialers.set_addresses(now, &BTreeSet::from([address(1)]));
        dialers.set_addresses(now, &BTreeSet::from([address(1), address(2)]));
        assert_eq!(dialed(&mut dialers, now), []);
    }
    dialers.opened(4);
    assert_eq!(dialers.open_links().collect::<Vec<_>>(), [(address(2), 4)]);
}
