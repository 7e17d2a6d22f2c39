//! Property tests of decoding messages from arbitrary and corrupted bytes.

use cherrystand_core::{BoxId, EndpointLoad, NodeId, ZoneId};
use cherrystand_peer::{LoadMessage, PackedBatch, PackedBody, decode, decode_compressed, encode};
use proptest::prelude::*;

fn valid_message() -> Vec<u8> {
    let loads = (0..20).map(|number| EndpointLoad {
        id: BoxId::new(format!("i-{number}")).with_incarnation(1_790_000_000_000),
        requests: number,
        unread: 1_000,
        silent_ms: 12,
    });
    let message = LoadMessage::InFlight {
        from: NodeId::new("n1"),
        zone: ZoneId::new("z1"),
        loads: loads.collect(),
        zones: Vec::new(),
    };
    encode(&message).expect("it can be encoded")
}

proptest! {
    /// A message states its own lengths; a length beyond the end of the bytes must be an error.
    #[test]
    fn any_bytes_decode_to_a_message_or_a_typed_error(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut changed = valid_message();
        for (at, byte) in changes {
            let at = at.index(changed.len());
            changed[at] = byte;
        }
        let short = changed[..cut.index(changed.len())].to_vec();
        for bytes in [bytes, changed, short] {
            if let Ok(message) = decode::<LoadMessage>(&bytes) {
                let again = encode(&message).expect("a decoded message can be encoded");
                prop_assert_eq!(decode::<LoadMessage>(&again).expect("a message"), message);
            }
            let _ = decode_compressed::<LoadMessage>(&bytes);
            let _ = decode::<PackedBody>(&bytes);
            if let Ok(batch) = decode::<PackedBatch>(&bytes) {
                let _ = batch.unpack();
            }
        }
    }
}
