//! Failure scenarios for comparing repair rules.

use cherrystand_core::{
    BoxId, DesiredReplica, GroupId, LoadSpec, Millis, RepairPolicy, RepairRule, ReplicaId,
    ReturnModel, SeededRng, WorkspaceId,
};

use crate::{DomainSetup, FakeDomain, Losses};

/// The number of boxes of one replica.
const REPLICA_SPAN: u32 = 8;

/// The number of replicas in the domain.
const REPLICAS: u32 = 8;

/// The virtual time that one scenario covers.
const SCENARIO_LENGTH: Millis = Millis::from_secs(3_600);

/// The maximum number of steps for forming all replicas before the scenario starts.
const MAX_FORMING_STEPS: u32 = 10_000;

/// How long it takes until a box that does not restart is replaced.
const REPLACEMENT_TIME: Millis = Millis::from_secs(1_800);

/// A user's weights of the losses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LossWeights {
    /// The name of the user.
    pub name: &'static str,
    /// The price of a second in which a replica cannot serve.
    pub downtime: f64,
    /// The price of a second in which a healthy box is idle.
    pub stranded: f64,
}

/// The weights of the two users.
///
/// For the first, a second without a replica costs more than a second in which the replica's eight
/// boxes are idle; for the second, it costs less.
pub const USER_WEIGHTS: [LossWeights; 2] = [
    LossWeights { name: "photo", downtime: 24.0, stranded: 1.0 },
    LossWeights { name: "kodcari", downtime: 2.0, stranded: 1.0 },
];

impl LossWeights {
    /// Returns the weighted sum of losses.
    pub fn price(&self, losses: &Losses) -> f64 {
        self.downtime * losses.down_secs + self.stranded * losses.stranded_secs
    }
}

/// A failure scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairScenario {
    /// Single boxes are lost; most of them restart.
    SingleLosses,
    /// Single boxes are lost where the domain has no spares.
    NoSpares,
    /// A rack of eight boxes is down for ten minutes.
    Rack,
    /// Six boxes in ten are unreachable for a few seconds, repeatedly.
    FalseAlarm,
    /// Single boxes are lost while the weight store serves only two boxes at the same time.
    LimitedStore,
}

impl RepairScenario {
    /// All scenarios.
    pub const ALL: [Self; 5] =
        [Self::SingleLosses, Self::NoSpares, Self::Rack, Self::FalseAlarm, Self::LimitedStore];

    /// Returns the scenario's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SingleLosses => "single-losses",
            Self::NoSpares => "no-spares",
            Self::Rack => "rack",
            Self::FalseAlarm => "false-alarm",
            Self::LimitedStore => "store-squeeze",
        }
    }

    /// Runs the scenario under a repair rule with a user's weights and returns the losses.
    pub fn run(self, rule: RepairRule, weights: LossWeights, seed: u64) -> Losses {
        let mut domain = self.domain(rule, weights);
        form_replicas(&mut domain);
        domain.losses = Losses::default();
        let mut rng = SeededRng::new(seed);
        let mut events = self.events(&mut rng);
        events.sort_by_key(|(at, _)| *at);
        let start = domain.now;
        for (at, event) in events {
            while domain.now < start + at {
                domain.step();
            }
            event.apply(&mut domain);
        }
        while domain.now < start + SCENARIO_LENGTH {
            domain.step();
        }
        domain.losses
    }

    fn domain(self, rule: RepairRule, weights: LossWeights) -> FakeDomain {
        let spares = if self == Self::NoSpares { 0 } else { REPLICA_SPAN };
        let store_slots = if self == Self::LimitedStore { 2 } else { 8 };
        let setup = DomainSetup {
            boxes: REPLICAS * REPLICA_SPAN + spares,
            checks_orders: true,
            load: Millis::from_secs(60),
            rejoin: Millis::from_secs(5),
            store_slots,
        };
        let policy = RepairPolicy {
            loads_at_once: store_slots as u32,
            load_secs: 60.0,
            rejoin_secs: 5.0,
            returns: ReturnModel::default(),
            rule,
        };
        let mut domain = FakeDomain::new(setup, &[policy]);
        let group = GroupId::new(WorkspaceId::new("w"), "g");
        let desired = (0..REPLICAS).map(|slot| DesiredReplica {
            replica: ReplicaId::new(group.clone(), slot),
            load: LoadSpec {
                model: "m".to_owned(),
                version: "1".to_owned(),
                adapters: Vec::new(),
                role: "serve".to_owned(),
            },
            span: REPLICA_SPAN,
            planned: Vec::new(),
            may_reload: true,
            downtime_weight: weights.downtime,
            stranded_weight: weights.stranded,
        });
        domain.desired = desired.collect();
        domain
    }

    fn events(self, rng: &mut SeededRng) -> Vec<(Millis, ScenarioEvent)> {
        match self {
            Self::SingleLosses | Self::NoSpares | Self::LimitedStore => single_losses(rng),
            Self::Rack => vec![(Millis::from_secs(600), rack_loss(rng))],
            Self::FalseAlarm => {
                (1..6).map(|number| (Millis::from_secs(number * 600), false_alarm(rng))).collect()
            }
        }
    }
}

/// Advances the domain until every replica serves.
fn form_replicas(domain: &mut FakeDomain) {
    for _ in 0..MAX_FORMING_STEPS {
        domain.step();
        if domain.desired.iter().all(|desired| domain.is_serving(&desired.replica)) {
            return;
        }
    }
}

/// A failure of some boxes.
enum ScenarioEvent {
    Lose { boxes: Vec<u32>, restart_after: Millis },
    Unreachable { boxes: Vec<u32>, span: Millis },
}

impl ScenarioEvent {
    fn apply(self, domain: &mut FakeDomain) {
        let ids: Vec<BoxId> = domain.boxes.keys().cloned().collect();
        let pick = |number: u32| &ids[number as usize % ids.len()];
        match self {
            Self::Lose { boxes, restart_after } => {
                for number in boxes {
                    domain.kill(pick(number), Some(restart_after));
                }
            }
            Self::Unreachable { boxes, span } => {
                let until = domain.now + span;
                for number in boxes {
                    if let Some(fake) = domain.boxes.get_mut(pick(number)) {
                        fake.unreachable_until = until;
                    }
                }
            }
        }
    }
}

fn single_losses(rng: &mut SeededRng) -> Vec<(Millis, ScenarioEvent)> {
    let count = 16;
    let one = |number: u64| {
        let at = Millis::from_secs(number * SCENARIO_LENGTH.0 / 1_000 / (count + 4));
        let restarts = rng.below(1_979) < 1_900;
        let restart_after = if restarts { exponential(rng, 45.0) } else { REPLACEMENT_TIME };
        let boxes = vec![rng.below(1 << 20) as u32];
        (at, ScenarioEvent::Lose { boxes, restart_after })
    };
    (1..=count).map(one).collect()
}

fn rack_loss(rng: &mut SeededRng) -> ScenarioEvent {
    let first = rng.below(64) as u32;
    let boxes = (first..first + 8).collect();
    ScenarioEvent::Lose { boxes, restart_after: Millis::from_secs(600) }
}

fn false_alarm(rng: &mut SeededRng) -> ScenarioEvent {
    let first = rng.below(72) as u32;
    let boxes = (first..first + 43).collect();
    ScenarioEvent::Unreachable { boxes, span: Millis(4_000) }
}

/// Draws a time from an exponential distribution with the given mean in seconds.
fn exponential(rng: &mut SeededRng, mean: f64) -> Millis {
    let uniform = (rng.below(1 << 30) as f64 + 1.0) / f64::from(1 << 30);
    Millis((-uniform.ln() * mean * 1_000.0) as u64)
}
