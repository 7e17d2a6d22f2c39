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
    received: usize,
    served: usize,
    /// Requests that replicas refused.
    refused: usize,
    /// Requests that reached a replica during a backoff that their daemon knew of.
    during_backoff: usize,
}

struct Simulation {
    algorithm: Algorithm,
    rng: SeededRng,
    nodes: Vec<EndpointBackpressure<usize>>,
    /// The node, the replica and the end of each request in flight, and whether it was sent after a
    /// backoff.
    in_flight: Vec<(usize, usize, Millis, bool)>,
    results: Results,
}

impl Simulation {
    fn new(algorithm: Algorithm, seed: u64) -> Self {
        let mut nodes = Vec::new();
        nodes.resize_with(NODES, EndpointBackpressure::default);
        Self {
            algorithm,
            rng: SeededRng::new(seed),
            nodes,
            in_flight: Vec::new(),
            results: Results::default(),
        }
    }

    /// Simulates requests at `percent` of what all replicas can answer.
    fn run(mut self, percent: u64) -> Results {
        let per_second =
            (REPLICAS * REPLICA_CAPACITY) as u64 * 1_000 / ANSWER_TIME.0 * percent / 100;
        let (mut now, mut credit) = (Millis(0), 0);
        while now < DURATION {
            self.end(now);
            credit += per_second * STEP.0;
            while credit >= 1_000 {
                credit -= 1_000;
                let node = self.rng.below(NODES);
                self.results.received += 1;
                self.send(node, now);
            }
            now = now + STEP;
        }
        self.results
    }

    fn end(&mut self, now: Millis) {
        let (ended, remaining) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(_, _, at, _)| *at <= now);
        self.in_flight = remaining;
        let ended: Vec<(usize, usize, Millis, bool)> = ended;
        for (node, replica, _, is_after_backoff) in ended {
            self.results.served += 1;
            if is_after_backoff {
                self.nodes[node].record_answer(&replica, now);
                self.nodes[node].record_end(&replica);
            }
        }
    }

    /// Returns how many requests a daemon has at a replica, if its algorithm depends on that.
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
            let is_backing_off =
                matches!(self.state(node, replica, now), BackpressureState::BackingOff(_));
            self.results.during_backoff += usize::from(is_backing_off);
            let permit = self.nodes[node].acquire_permit(&replica, 0, now);
            let is_after_backoff = permit.is_some_and(|permit| permit.is_after_backoff());
            let queued = self.in_flight.iter().filter(|(_, at, _, _)| *at == replica).count();
            if queued < REPLICA_CAPACITY {
                self.in_flight.push((node, replica, now + ANSWER_TIME, is_after_backoff));
                return;
            }
            self.refuse(node, replica, is_after_backoff, now);
        }
    }

    fn refuse(&mut self, node: usize, replica: usize, is_after_backoff: bool, now: Millis) {
        self.results.refused += 1;
        if is_after_backoff {
            self.nodes[node].record_end(&replica);
        }
        let receivers = match self.algorithm {
            Algorithm::SharedBackoff => 0..NODES,
            _ => node..node + 1,
        };
        for node in receivers {
            let in_flight = self.own_in_flight(node, replica) + 1;
            self.nodes[node].record_backoff(&replica, BACKOFF, in_flight, now);
        }
    }

    fn choose(&mut self, node: usize, tried: &[usize], now: Millis) -> Option<usize> {
        let first = self.rng.below(REPLICAS);
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
            let penalty = if state == BackpressureState::Recovering { 1_000 } else { 0 };
            let cost = self.own_in_flight(node, replica) + penalty;
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
    let algorithms = [
        Algorithm::Ignore,
        Algorithm::ResumeAtOnce,
        Algorithm::ResumeGradually,
        Algorithm::SharedBackoff,
        Algorithm::LimitedConcurrency,
    ];
    for percent in [90, 100, 150] {
        let all = algorithms.map(|algorithm| {
            let out = Simulation::new(algorithm, 7).run(percent);
            println!("{percent}% {algorithm:?}: {out:?}");
            out
        });
        let [ignored, at_once, gradual, shared, limited] = all;
        for honoured in [&at_once, &gradual, &shared, &limited] {
            assert_eq!(honoured.during_backoff, 0, "{percent}%: {honoured:?}");
        }
        // Nearly all that the replicas can answer, and a tenth of the refusals.
        let capacity = (REPLICAS * REPLICA_CAPACITY) as u64 * DURATION.0 / ANSWER_TIME.0
            * percent.min(100)
            / 100;
        assert!(
            limited.served as u64 * 10 >= capacity * 8,
            "{percent}%: {limited:?} of {capacity}"
        );
        assert!(limited.refused * 5 <= ignored.refused, "{percent}%: {limited:?}");
        assert!(limited.served >= gradual.served && limited.served >= shared.served);
    }
}
