//! The number of idle connections that a node keeps to an endpoint.

use cherrystand_core::{DEFAULT_IDLE_CONNECTIONS, max_idle_connections};

#[test]
fn all_nodes_together_keep_half_the_connections_that_an_endpoint_accepts() {
    struct Case {
        name: &'static str,
        most: Option<u32>,
        nodes: usize,
        kept: usize,
    }
    let cases = [
        Case { name: "the limit is unknown", most: None, nodes: 9, kept: DEFAULT_IDLE_CONNECTIONS },
        Case { name: "a box that runs a model", most: Some(474), nodes: 9, kept: 26 },
        Case { name: "a plain service", most: Some(110), nodes: 9, kept: 6 },
        Case { name: "many nodes", most: Some(1_988), nodes: 295, kept: 3 },
        Case { name: "more nodes than connections", most: Some(110), nodes: 410, kept: 0 },
        Case {
            name: "a single node",
            most: Some(1_000_000),
            nodes: 1,
            kept: DEFAULT_IDLE_CONNECTIONS,
        },
        Case { name: "no node is known", most: Some(110), nodes: 0, kept: 55 },
        Case { name: "the endpoint accepts none", most: Some(0), nodes: 9, kept: 0 },
    ];
    for case in cases {
        let kept = max_idle_connections(case.most, case.nodes);
        assert_eq!(kept, case.kept, "{}", case.name);
        let all = kept * case.nodes;
        assert!(case.most.is_none_or(|most| all <= most as usize), "{}", case.name);
    }
}
