//! Tests of the verifier of endpoints' statuses.

use bytes::Bytes;
use mulberrywell_serving::{verify_status, StatusFault};
use mulberrywell_wire::serving::{EndpointPhase, EndpointStatus, HeldModel};
use rstest::rstest;

fn name(len: usize) -> Bytes {
    Bytes::from(vec![b'x'; len])
}

fn status() -> EndpointStatus {
    EndpointStatus {
        id: name(256),
        service: name(256),
        address: Bytes::from_static(b"10.0.0.1:80"),
        zone: name(256),
        software: name(256),
        models: vec![HeldModel {
            name: name(256),
            version: u64::MAX,
            adapters: vec![name(10); 2_000],
        }],
        ..EndpointStatus::default()
    }
}

type Change = fn(&mut EndpointStatus);

/// Guards against statuses that are too large to be told to all others, and against a
/// limit that refuses those of large engines.
#[rstest]
#[case::large(|_: &mut EndpointStatus| {}, Ok(()))]
#[case::no_id(|it: &mut EndpointStatus| it.id.clear(), Err(StatusFault::NoId))]
#[case::long_id(|it: &mut EndpointStatus| it.id = name(257), Err(StatusFault::LongName))]
#[case::long_service(|it: &mut EndpointStatus| it.service = name(257), Err(StatusFault::LongName))]
#[case::long_zone(|it: &mut EndpointStatus| it.zone = name(257), Err(StatusFault::LongName))]
#[case::long_version(|it: &mut EndpointStatus| it.software = name(257), Err(StatusFault::LongName))]
#[case::long_model(|it: &mut EndpointStatus| it.models[0].name = name(257), Err(StatusFault::LongName))]
#[case::long_adapter(|it: &mut EndpointStatus| it.models[0].adapters.push(name(257)), Err(StatusFault::LongName))]
#[case::long_cached_model(|it: &mut EndpointStatus| it.on_disk.push(name(257)), Err(StatusFault::LongName))]
#[case::many_models(
    |it: &mut EndpointStatus| it.models = vec![HeldModel::default(); 5_000],
    Err(StatusFault::TooLarge)
)]
#[case::many_cached_models(|it: &mut EndpointStatus| it.in_memory = vec![name(0); 5_000], Err(StatusFault::TooLarge))]
#[case::no_address(|it: &mut EndpointStatus| it.address.clear(), Err(StatusFault::Address))]
#[case::port_too_large(
    |it: &mut EndpointStatus| it.address = Bytes::from_static(b"10.0.0.1:65536"),
    Err(StatusFault::Address)
)]
#[case::address_not_text(
    |it: &mut EndpointStatus| it.address = Bytes::from_static(b"\xff:80"),
    Err(StatusFault::Address)
)]
#[case::gone_without_address(
    |it: &mut EndpointStatus| { it.address.clear(); it.set_phase(EndpointPhase::Gone); },
    Ok(())
)]
fn verify_status_bounded(#[case] change: Change, #[case] expected: Result<(), StatusFault>) {
    let mut status = status();
    change(&mut status);
    assert_eq!(verify_status(&status), expected);
}
