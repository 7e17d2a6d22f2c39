//! Which connections may carry a further try of a request.

use cherrystand_core::{ConnectionId, ConnectionUse, EarlierTries};
use proptest::prelude::*;

const fn connection(id: u64, has_carried: bool) -> ConnectionUse {
    ConnectionUse { id: ConnectionId(id), has_carried }
}

#[test]
fn a_further_try_never_travels_where_an_earlier_one_did() {
    struct Case {
        name: &'static str,
        tries: EarlierTries,
        conn: ConnectionUse,
        allowed: bool,
    }
    let on = |ids: &[u64]| EarlierTries::On(ids.iter().copied().map(ConnectionId).collect());
    let anywhere = EarlierTries::Anywhere;
    let case = |name, tries, conn, allowed| Case { name, tries, conn, allowed };
    let cases = [
        case("first try, kept", on(&[]), connection(1, true), true),
        case("first try, new", on(&[]), connection(1, false), true),
        case("the same one", on(&[1]), connection(1, true), false),
        case("one that carried others", on(&[1]), connection(2, true), true),
        case("that of the first of two", on(&[1, 2]), connection(1, true), false),
        case("anywhere, kept", anywhere.clone(), connection(3, true), false),
        case("anywhere, new", anywhere, connection(3, false), true),
    ];
    for case in cases {
        assert_eq!(case.tries.allow(case.conn), case.allowed, "{}", case.name);
    }
}

proptest! {
    #[test]
    fn no_connection_carries_two_tries(offered in prop::collection::vec(0_u64..6, 0..40)) {
        let mut tries = EarlierTries::default();
        let mut carried = Vec::new();
        for id in offered {
            if tries.allow(connection(id, true)) {
                tries.record(ConnectionId(id));
                carried.push(id);
            }
        }
        let all = carried.len();
        carried.sort_unstable();
        carried.dedup();
        prop_assert_eq!(carried.len(), all);
    }
}
