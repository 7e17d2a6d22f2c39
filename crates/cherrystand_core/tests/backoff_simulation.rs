//! Compares how daemons can resume sending to endpoints after a backoff, and whether backoffs
//! should be shared between daemons.

use cherrystand_core::{BackpressureState, EndpointBackpressure, Millis, SeededRng};

const NODES: usize = 9;
const REPLICAS: usize = 4;
/// How many requests a replica processes or queues; beyond that it refuses requests and asks for a
/// backoff.
const REPLICA_CAPACITY: usize = 34;
const BACKOFF: Millis = Millis(1_000);
const ANSWER_TIME: Millis = Millis(800);
const STEP: Millis = Millis(5);
const DURATION: Millis = Millis(60_000);

/// What daemons do about backoffs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Algorithm {
    /// They only retry the request elsewhere.
    Ignore,
    /// They honour the backoff, and send all they have when it ends.
    ResumeAtOnce,
    /// They honour the backoff and resume with one request.
    ResumeGradually,
    /// The same, with each backoff applied by all daemons.
    SharedBackoff,
    /// Like `ResumeGradually`, with a concurrency limit after the backoff: the algorithm in use.
    LimitedConcurrency,
}

#[derive(Debug, Default)]
struct Results {
    came: usize,
    served: usize,
    /// Requests that replicas refused.
    turned_away: usize,
    /// Requests that reached a replica during a backoff that their daemon knew of.
    during_backoff: usize,
}

struct Simulation {
    algorithm: Algorithm,
    seed: SeededRng,
    nodes: Vec<EndpointBackpressure<usize>>,
    /// The node, the replica and the end of each request in flight, and whether it was sent after a
    /// backoff.
    in_flight: Vec<(usize, usize, Millis, bool)>,
    out: Results,
}

impl Simulation {
    fn new(algorithm: Algorithm, seed: u64) -> Self {
        let mut nodes = Vec::new();
        nodes.resize_with(NODES, EndpointBackpressure::default);
        Self {
            algorithm,
            seed: SeededRng::new(seed),
            nodes,
            in_flight: Vec::new(),
            out: Results::default(),
        }
    }

    /// Simulates requests at `percent` of what all replicas can answer.
    fn run(mut self, percent: u64) -> Results {
        let a_second = (REPLICAS * REPLICA_CAPACITY) as u64 * 1_000 / ANSWER_TIME.0 * percent / 100;
        let (mut now, mut owed) = (Millis(0), 0);
        while now < DURATION {
            self.end(now);
            owed += a_second * STEP.0;
            while owed >= 1_000 {
                owed -= 1_000;
                let node = self.seed.below(NODES);
                self.out.came += 1;
                self.send(node, now);
            }
            now = now + STEP;
        }
        self.out
    }

    fn end(&mut self, now: Millis) {
        let (ended, rest) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(_, _, at, _)| *at <= now);
        self.in_flight = rest;
        let ended: Vec<(usize, usize, Millis, bool)> = ended;
        for (node, replica, _, is_after_backoff) in ended {
            self.out.served += 1;
            if is_after_backoff {
                self.nodes[node].record_answer(&replica, now);
                self.nodes[node].record_end(&replica);
            }
        }
    }

    /// Returns how many requests a daemon has at a replica, if its algorithm takes that into
    /// account.
    fn own_in_flight(&self, node: usize, replica: usize) -> u32 {
        let own_in_flight =
            self.in_flight.iter().filter(|(by, at, _, _)| (*by, *at) == (node, replica));
        own_in_flight.count() as u32
    }

    fn state(&self, node: usize, replica: usize, now: Millis) -> BackpressureState {
        let counted = if self.algorithm == Algorithm::LimitedConcurrency {
            self.own_in_flight(node, replica)
        } else {
            0
        };
        self.nodes[node].state(&replica, counted, now)
    }

    /// Sends a request to up to two replicas, each time the one with the fewest requests of this
    /// daemon.
    fn send(&mut self, node: usize, now: Millis) {
        let mut tried = Vec::new();
        while tried.len() < 2 {
            let Some(replica) = self.choose(node, &tried, now) else { return };
            tried.push(replica);
            let rests = matches!(self.state(node, replica, now), BackpressureState::BackingOff(_));
            self.out.during_backoff += usize::from(rests);
            let permit = self.nodes[node].acquire_permit(&replica, 0, now);
            let is_after_backoff = permit.is_some_and(|permit| permit.is_after_backoff());
            let held = self.in_flight.iter().filter(|(_, at, _, _)| *at == replica).count();
            if held < REPLICA_CAPACITY {
                self.in_flight.push((node, replica, now + ANSWER_TIME, is_after_backoff));
                return;
            }
            self.turn_away(node, replica, is_after_backoff, now);
        }
    }

    fn turn_away(&mut self, node: usize, replica: usize, is_after_backoff: bool, now: Millis) {
        self.out.turned_away += 1;
        if is_after_backoff {
            self.nodes[node].record_end(&replica);
        }
        let bound = match self.algorithm {
            Algorithm::SharedBackoff => 0..NODES,
            _ => node..node + 1,
        };
        for node in bound {
            let in_flight = self.own_in_flight(node, replica) + 1;
            self.nodes[node].record_backoff(&replica, BACKOFF, in_flight, now);
        }
    }

    fn choose(&mut self, node: usize, tried: &[usize], now: Millis) -> Option<usize> {
        let first = self.seed.below(REPLICAS);
        let mut best: Option<(u32, usize)> = None;
        for replica in (0..REPLICAS).map(|number| (number + first) % REPLICAS) {
            if self.algorithm == Algorithm::ResumeAtOnce {
                // The replica counts as open again at once.
                (0..4).for_each(|_| self.nodes[node].record_answer(&replica, now));
            }
            let state = self.state(node, replica, now);
            if tried.contains(&replica)
                || (self.algorithm != Algorithm::Ignore && state.is_closed())
            {
                continue;
            }
            let behind = if state == BackpressureState::Recovering { 1_000 } else { 0 };
            let cost = self.own_in_flight(node, replica) + behind;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, replica));
            }
        }
        best.map(|(_, replica)| replica)
    }
}

/// Compares the algorithms at nine tenths, once and one and a half times the replicas' capacity. A
/// backoff applies only to the daemon that received it: shared with all daemons it would waste
/// capacity of the replica.
#[test]
fn honouring_backoffs_costs_few_answers_and_avoids_refusals() {
    let ways = [
        Algorithm::Ignore,
        Algorithm::ResumeAtOnce,
        Algorithm::ResumeGradually,
        Algorithm::SharedBackoff,
        Algorithm::LimitedConcurrency,
    ];
    for percent in [90, 100, 150] {
        let all = ways.map(|algorithm| {
            let out = Simulation::new(algorithm, 7).run(percent);
            println!("{percent}% {algorithm:?}: {out:?}");
            out
        });
        let [ignored, at_once, one_first, binds_all, limited] = all;
        for followed in [&at_once, &one_first, &binds_all, &limited] {
            assert_eq!(followed.during_backoff, 0, "{percent}%: {followed:?}");
        }
        // Nearly all that the replicas can answer, and a tenth of the refusals.
        let can = (REPLICAS * REPLICA_CAPACITY) as u64 * DURATION.0 / ANSWER_TIME.0
            * percent.min(100)
            / 100;
        assert!(limited.served as u64 * 10 >= can * 8, "{percent}%: {limited:?} of {can}");
        assert!(limited.turned_away * 5 <= ignored.turned_away, "{percent}%: {limited:?}");
        assert!(limited.served >= one_first.served && limited.served >= binds_all.served);
    }
}
