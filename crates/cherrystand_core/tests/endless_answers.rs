//! How many bytes of a server may bring nothing.

use cherrystand_core::{MAX_FRUITLESS_BYTES, are_too_many_fruitless_bytes};

#[test]
fn fruitless_bytes_have_a_limit() {
    assert!(!are_too_many_fruitless_bytes(MAX_FRUITLESS_BYTES));
    assert!(are_too_many_fruitless_bytes(MAX_FRUITLESS_BYTES + 1));
}
