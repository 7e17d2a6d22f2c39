//! Changes as one block for all that ask.

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

/// Story: a daemon that read the store for 58 others packed each of its changes 58 times.
#[test]
fn what_many_ask_for_is_packed_once() {
    struct Case {
        name: &'static str,
        after: Option<u64>,
        until: u64,
        /// How many blocks were made by then.
        made: usize,
    }
    let cases = [
        Case { name: "the first asker", after: Some(3), until: 5, made: 1 },
        Case { name: "the next one", after: Some(3), until: 5, made: 1 },
        Case { name: "one that was told later", after: Some(4), until: 5, made: 2 },
        Case { name: "one that knows nothing", after: None, until: 5, made: 3 },
        Case { name: "the first asker again", after: Some(3), until: 5, made: 3 },
        Case { name: "after a further change", after: Some(3), until: 6, made: 4 },
    ];
    let (mut batches, mut made) = (BatchCache::default(), 0);
    for case in cases {
        let span = BatchSpan { after: case.after, until: case.until };
        let records: Vec<Document> =
            (case.after.unwrap_or_default()..case.until).map(entry).collect();
        let batch = ChangesSince { records, gone: vec![BoxId::new("gone")] };
        let make = || {
            made += 1;
            batch.clone()
        };
        let packed = batches.get_or_pack(span, make).expect("it has an encoding");
        assert_eq!(packed.unpack().expect("it is a batch"), batch, "{}", case.name);
        assert_eq!(made, case.made, "{}", case.name);
    }
}

#[test]
fn a_block_that_is_no_batch_is_refused() {
    let records: Vec<Document> = (0..400).map(entry).collect();
    let packed = PackedBatch::new(&ChangesSince { records, gone: Vec::new() }).expect("packed");
    let bytes = encode(&packed).expect("it has an encoding");
    for cut in [bytes.len() / 2, bytes.len() - 1] {
        assert!(decode::<PackedBatch>(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    let mut altered = bytes.clone();
    let middle = altered.len() / 2;
    altered[middle..].fill(0xff);
    let altered: PackedBatch = decode(&altered).expect("only what it holds is altered");
    assert!(altered.unpack().is_err());
}
