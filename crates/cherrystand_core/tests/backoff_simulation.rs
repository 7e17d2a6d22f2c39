//! How endpoints that rest come back, and what is told of rests to other daemons, compared.

use cherrystand_core::{BackpressureState, EndpointBackpressure, Millis, SeededRng};

const NODES: usize = 9;
const REPLICAS: usize = 4;
/// How many requests a replica works on or lets wait; beyond them it turns away and asks for rest.
const ROOM: usize = 34;
const REST: Millis = Millis(1_000);
const ANSWERS_IN: Millis = Millis(800);
const STEP: Millis = Millis(5);
const PLAYED_FOR: Millis = Millis(60_000);

/// What daemons do about rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// They pass over the replica that refused, and nothing more.
    Ignore,
    /// They follow the wish, and send all they have when it ends.
    AllAtOnce,
    /// They follow the wish and come back by one request first.
    OneFirst,
    /// The same, and each wish binds all daemons.
    BindsAll,
    /// As the third, and each daemon keeps to what a replica bore: what is in force.
    Limited,
}

#[derive(Debug, Default)]
struct Outcome {
    came: usize,
    served: usize,
    /// Requests that replicas turned away.
    turned_away: usize,
    /// Requests that reached a replica within a rest that their daemon knew of.
    into_rest: usize,
}

struct Play {
    way: Way,
    seed: SeededRng,
    nodes: Vec<EndpointBackpressure<usize>>,
    /// The node, the replica and the end of each request under way, and whether it was sent after a rest.
    under_way: Vec<(usize, usize, Millis, bool)>,
    out: Outcome,
}

impl Play {
    fn new(way: Way, seed: u64) -> Self {
        let mut nodes = Vec::new();
        nodes.resize_with(NODES, EndpointBackpressure::default);
        Self {
            way,
            seed: SeededRng::new(seed),
            nodes,
            under_way: Vec::new(),
            out: Outcome::default(),
        }
    }

    /// Plays requests that come `percent` of what all replicas can answer.
    fn play(mut self, percent: u64) -> Outcome {
        let a_second = (REPLICAS * ROOM) as u64 * 1_000 / ANSWERS_IN.0 * percent / 100;
        let (mut now, mut owed) = (Millis(0), 0);
        while now < PLAYED_FOR {
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
            std::mem::take(&mut self.under_way).into_iter().partition(|(_, _, at, _)| *at <= now);
        self.under_way = rest;
        let ended: Vec<(usize, usize, Millis, bool)> = ended;
        for (node, replica, _, comes_back) in ended {
            self.out.served += 1;
            if comes_back {
                self.nodes[node].record_answer(&replica, now);
                self.nodes[node].record_end(&replica);
            }
        }
    }

    /// Returns how many requests a daemon has at a replica, as far as its way goes by that.
    fn own(&self, node: usize, replica: usize) -> u32 {
        let own = self.under_way.iter().filter(|(by, at, _, _)| (*by, *at) == (node, replica));
        own.count() as u32
    }

    fn state(&self, node: usize, replica: usize, now: Millis) -> BackpressureState {
        let counted = if self.way == Way::Limited { self.own(node, replica) } else { 0 };
        self.nodes[node].state(&replica, counted, now)
    }

    /// Sends a request to up to two replicas, each that with the least of this daemon's requests.
    fn send(&mut self, node: usize, now: Millis) {
        let mut tried = Vec::new();
        while tried.len() < 2 {
            let Some(replica) = self.choose(node, &tried, now) else { return };
            tried.push(replica);
            let rests = matches!(self.state(node, replica, now), BackpressureState::BackingOff(_));
            self.out.into_rest += usize::from(rests);
            let permit = self.nodes[node].acquire_permit(&replica, 0, now);
            let comes_back = permit.is_some_and(|permit| permit.is_after_backoff());
            let held = self.under_way.iter().filter(|(_, at, _, _)| *at == replica).count();
            if held < ROOM {
                self.under_way.push((node, replica, now + ANSWERS_IN, comes_back));
                return;
            }
            self.turn_away(node, replica, comes_back, now);
        }
    }

    fn turn_away(&mut self, node: usize, replica: usize, comes_back: bool, now: Millis) {
        self.out.turned_away += 1;
        if comes_back {
            self.nodes[node].record_end(&replica);
        }
        let bound = match self.way {
            Way::BindsAll => 0..NODES,
            _ => node..node + 1,
        };
        for node in bound {
            let under_way = self.own(node, replica) + 1;
            self.nodes[node].record_backoff(&replica, REST, under_way, now);
        }
    }

    fn choose(&mut self, node: usize, tried: &[usize], now: Millis) -> Option<usize> {
        let first = self.seed.below(REPLICAS);
        let mut best: Option<(u32, usize)> = None;
        for replica in (0..REPLICAS).map(|number| (number + first) % REPLICAS) {
            if self.way == Way::AllAtOnce {
                // What comes back opens at once.
                (0..4).for_each(|_| self.nodes[node].record_answer(&replica, now));
            }
            let state = self.state(node, replica, now);
            if tried.contains(&replica) || (self.way != Way::Ignore && state.is_closed()) {
                continue;
            }
            let behind = if state == BackpressureState::Recovering { 1_000 } else { 0 };
            let cost = self.own(node, replica) + behind;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, replica));
            }
        }
        best.map(|(_, replica)| replica)
    }
}

/// Each way at nine tenths, as much and one and a half times what the replicas can answer. The wish binds the
/// daemon that it was told to: as a ban for all it takes capacity away that the replica would have given.
#[test]
fn following_rests_costs_few_answers_and_spares_replicas_what_they_turn_away() {
    let ways = [Way::Ignore, Way::AllAtOnce, Way::OneFirst, Way::BindsAll, Way::Limited];
    for percent in [90, 100, 150] {
        let all = ways.map(|way| {
            let out = Play::new(way, 7).play(percent);
            println!("{percent}% {way:?}: {out:?}");
            out
        });
        let [ignored, at_once, one_first, binds_all, limited] = all;
        for followed in [&at_once, &one_first, &binds_all, &limited] {
            assert_eq!(followed.into_rest, 0, "{percent}%: {followed:?}");
        }
        // Nearly all that the replicas can answer, and a tenth of what they turned away.
        let can = (REPLICAS * ROOM) as u64 * PLAYED_FOR.0 / ANSWERS_IN.0 * percent.min(100) / 100;
        assert!(limited.served as u64 * 10 >= can * 8, "{percent}%: {limited:?} of {can}");
        assert!(limited.turned_away * 5 <= ignored.turned_away, "{percent}%: {limited:?}");
        assert!(limited.served >= one_first.served && limited.served >= binds_all.served);
    }
}
