//! Tests of the expected wait in messages.

use super::{
    decode_wait,
    encode_wait, //
};
use std::time::Duration;
use test_case::test_case;

/// An older holder sends no wait, which must not be taken for an empty queue.
#[test_case(None, 0; "unknown")]
#[test_case(Some(Duration::ZERO), 1; "no wait")]
#[test_case(Some(Duration::from_millis(250)), 251; "a wait")]
fn a_wait_is_sent_as_one_more(wait: Option<Duration>, number: u32) {
    assert_eq!(encode_wait(wait), number);
    assert_eq!(decode_wait(number), wait);
}

#[test]
fn a_wait_beyond_all_numbers_is_the_longest_one() {
    assert_eq!(encode_wait(Some(Duration::MAX)), u32::MAX);
}
