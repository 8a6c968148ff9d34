//! Tests of the framing of links.

use mulberrywell_wire::{FrameCodec, FRAME_LIMIT};
use rstest::rstest;

/// Limit of a codec in these tests, in bytes.
const SMALL_LIMIT: usize = 4 * 1024;

fn length_field(len: usize) -> [u8; 4] {
    u32::try_from(len).unwrap().to_be_bytes()
}

// Guards against an error that names the general limit where a lower one applies.
#[rstest]
#[case::handshake(FrameCodec::with_limit(SMALL_LIMIT), SMALL_LIMIT)]
#[case::open_link(FrameCodec::default(), FRAME_LIMIT)]
fn next_frame_too_long_names_limit(#[case] mut codec: FrameCodec, #[case] limit: usize) {
    codec.feed(&length_field(limit + 1));
    let error = codec.next_frame().unwrap_err();
    assert_eq!(
        error.to_string(),
        format!("frame longer than {limit} bytes")
    );
}

#[test]
fn set_limit_applied_to_next_frame() {
    let mut codec = FrameCodec::with_limit(SMALL_LIMIT);
    codec.set_limit(FRAME_LIMIT);
    codec.feed(&length_field(SMALL_LIMIT + 1));
    assert!(codec.next_frame().unwrap().is_none());
    let mut codec = FrameCodec::with_limit(FRAME_LIMIT);
    codec.set_limit(SMALL_LIMIT);
    codec.feed(&length_field(SMALL_LIMIT + 1));
    let error = codec.next_frame().unwrap_err();
    assert_eq!(
        error.to_string(),
        format!("frame longer than {SMALL_LIMIT} bytes")
    );
}
