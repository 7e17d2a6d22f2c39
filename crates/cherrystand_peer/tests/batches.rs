//! Tests of the cache of encoded batches.

use cherrystand_core::{BoxId, ChangesSince, Document, Revision};
use cherrystand_peer::{BatchCache, BatchSpan, PackedBatch, decode, encode};

fn entry(number: u64) -> Document {
    let body = format!("{{\"name\":\"box-{number}\",\"state\":\"ready\"}}");
    Document {
        key: format!("boxes/{number}").into(),
        revision: Revision::new(number),
        body: body.into(),
    }
}

/// Guards against encoding the same changes repeatedly: a daemon that read the store for 58 others encoded each of its
/// changes 58 times.
#[test]
fn a_batch_requested_by_many_peers_is_encoded_once() {
    struct Case {
        name: &'static str,
        after: Option<u64>,
        until: u64,
        /// Number of batches encoded so far.
        encoded: usize,
    }
    let cases = [
        Case { name: "the first peer", after: Some(3), until: 5, encoded: 1 },
        Case { name: "the next peer", after: Some(3), until: 5, encoded: 1 },
        Case { name: "a peer at a later position", after: Some(4), until: 5, encoded: 2 },
        Case { name: "a peer without a position", after: None, until: 5, encoded: 3 },
        Case { name: "the first peer again", after: Some(3), until: 5, encoded: 3 },
        Case { name: "after another change", after: Some(3), until: 6, encoded: 4 },
    ];
    let (mut batches, mut encoded) = (BatchCache::default(), 0);
    for case in cases {
        let span = BatchSpan { after: case.after, until: case.until };
        let records: Vec<Document> =
            (case.after.unwrap_or_default()..case.until).map(entry).collect();
        let batch = ChangesSince { records, gone: vec![BoxId::new("gone")] };
        let make = || {
            encoded += 1;
            batch.clone()
        };
        let packed = batches.get_or_pack(span, make).expect("it can be encoded");
        assert_eq!(packed.unpack().expect("it is a batch"), batch, "{}", case.name);
        assert_eq!(encoded, case.encoded, "{}", case.name);
    }
}

#[test]
fn a_corrupted_batch_is_rejected() {
    let records: Vec<Document> = (0..400).map(entry).collect();
    let packed = PackedBatch::new(&ChangesSince { records, gone: Vec::new() }).expect("packed");
    let bytes = encode(&packed).expect("it can be encoded");
    for cut in [bytes.len() / 2, bytes.len() - 1] {
        assert!(decode::<PackedBatch>(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    let mut altered = bytes.clone();
    let middle = altered.len() / 2;
    altered[middle..].fill(0xff);
    let altered: PackedBatch = decode(&altered).expect("only its content is altered");
    assert!(altered.unpack().is_err());
}
