//! A set of dialers: addresses that it dials, and links that it retains.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mulberrywell_role::{DialerSet, LinkCommand, LinkId};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn dial_commands(dialers: &mut DialerSet, now: Instant) -> Vec<(LinkId, SocketAddr)> {
    let mut commands = Vec::new();
    dialers.dial(now, &mut commands);
    let dials = commands.into_iter().filter_map(|command| match command {
        LinkCommand::Dial { link, address } => Some((link, address)),
        _ => None,
    });
    dials.collect()
}

/// Returns dialers that are dialing the ports 1 and 2 as links 2 and 4.
fn dialing_set(now: Instant) -> DialerSet {
    let mut dialers = DialerSet::default();
    dialers.set_addresses(now, &BTreeSet::from([address(1), address(2)]));
    let dials = dial_commands(&mut dialers, now);
    assert_eq!(dials, [(2, address(1)), (4, address(2))]);
    dialers
}

#[test]
fn dial_each_address_once() {
    let now = Instant::now();
    let mut dialers = dialing_set(now);
    assert_eq!(dial_commands(&mut dialers, now), []);
    assert_eq!(dialers.deadline(), None);
}

#[test]
fn dial_again_after_close() {
    let now = Instant::now();
    let mut dialers = dialing_set(now);
    dialers.handle_opened(2);
    dialers.handle_opened(4);
    dialers.handle_closed(now, 2);
    let due_at = dialers.deadline().unwrap();
    assert!(due_at > now);
    assert_eq!(dial_commands(&mut dialers, due_at), [(6, address(1))]);
}

#[test]
fn set_addresses_removed_link_retained_until_closed() {
    let now = Instant::now();
    let mut dialers = dialing_set(now);
    dialers.handle_opened(4);
    dialers.set_addresses(now, &BTreeSet::new());
    // The link to port 1 was still being dialed when its address was removed.
    dialers.handle_opened(2);
    let open: Vec<_> = dialers.open_links().collect();
    assert_eq!(open, [(address(1), 2), (address(2), 4)]);
    dialers.handle_closed(now, 2);
    assert_eq!(dialers.open_links().count(), 1);
    assert_eq!(
        dial_commands(&mut dialers, now + Duration::from_secs(9)),
        []
    );
}

#[test]
fn set_addresses_repeated_change_dials_once() {
    let now = Instant::now();
    let mut dialers = dialing_set(now);
    for _ in 0..5 {
        dialers.set_addresses(now, &BTreeSet::from([address(1)]));
        dialers.set_addresses(now, &BTreeSet::from([address(1), address(2)]));
        assert_eq!(dial_commands(&mut dialers, now), []);
    }
    dialers.handle_opened(4);
    assert_eq!(dialers.open_links().collect::<Vec<_>>(), [(address(2), 4)]);
}

/// An address that leaves and joins the set at each of two halves' lists, and whose
/// links fail or close at once, is dialed no more often than its back-off allows.
#[rstest::rstest]
fn set_addresses_flapping_backs_off(#[values(false, true)] opens: bool) {
    let start = Instant::now();
    let mut dialers = DialerSet::default();
    let mut dials = 0;
    for step in 0..2_000 {
        let now = start + Duration::from_millis(10 * step);
        for addresses in [BTreeSet::new(), BTreeSet::from([address(1)])] {
            dialers.set_addresses(now, &addresses);
        }
        for (link, _) in dial_commands(&mut dialers, now) {
            dials += 1;
            if opens {
                dialers.handle_opened(link);
            }
            dialers.handle_closed(now, link);
        }
    }
    assert!((10..=16).contains(&dials), "{dials} in 20 s");
}
