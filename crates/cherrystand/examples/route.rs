//! Routes a burst of requests to endpoints, one of which has failed, and prints the distribution.

use cherrystand::{AttemptEnd, EndpointSpec, Millis, Router, SeededRng};

fn main() {
    let mut router = Router::default();
    let group = router.add_group();
    let spec = EndpointSpec { near: true, initial_limit: 8, max_limit: 8 };
    let endpoints: Vec<_> = (0..4).map(|_| router.add_endpoint(group, spec)).collect();
    let mut rng = SeededRng::new(1);
    let now = Millis(1_000);
    assert!(router.start(endpoints[0], now).is_some());
    router.finish(endpoints[0], AttemptEnd::ConnectFailed, now, None);
    while let Ok(chosen) = router.choose(group, None, now, &mut rng) {
        assert!(router.start(chosen, now).is_some());
    }
    for (number, endpoint) in endpoints.iter().enumerate() {
        let (in_flight, limit) = router.load(*endpoint);
        println!("endpoint {number}: {in_flight} of {limit} in flight");
    }
}
