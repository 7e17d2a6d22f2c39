//! Which decisions are made how, so that each can be switched off and its worth measured.

use serde::Deserialize;

/// Says how the replica for a request is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceRule {
    /// The best of a few drawn by chance, by the credit that each is expected to bring.
    #[default]
    ExpectedCredit,
    /// The one that is predicted to answer first.
    Earliest,
    /// The one with the fewest requests in flight.
    FewestInFlight,
    /// The earlier of two drawn by chance.
    TwoAtRandom,
}

/// Switches decisions on and off; the default is what measured best.
///
/// Source: docs/MEASURES.md.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How the replica for a request is chosen.
    pub choice: ChoiceRule,
    /// What an answer from another zone costs, as a share of the request's credit.
    pub far_cost: f64,
    /// Whether requests that will be late are put behind those that can still be in time.
    pub defer_late: bool,
    /// Whether peers are told what this daemon has in flight.
    pub tell_loads: bool,
    /// Whether peers are asked before a replica counts as standing still.
    pub ask_peers: bool,
    /// Whether streams are taken up at another replica.
    pub resume_elsewhere: bool,
    /// Whether a replica serves on while a member's entry is out.
    pub serve_unlisted: bool,
    /// Whether each domain is for one model.
    pub home_models: bool,
    /// Whether domains are given to other models by what these are asked for; with the share of the
    /// work that is configured otherwise.
    pub follow_demand: bool,
    /// Whether spares take their model into memory.
    pub warm_spares: bool,
    /// Whether each daemon keeps to its share of the retry budget.
    pub retry_share: bool,
    /// Whether most daemons read from a reader of their zone instead of the store.
    pub readers: bool,
    /// From how many daemons times boxes on the store names the readers to daemons that start.
    pub note_readers_from: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            choice: ChoiceRule::default(),
            // 3.5 KB a request at the users' price of bytes is 0.01 to 0.03 of its credit.
            far_cost: 0.02,
            defer_late: true,
            tell_loads: true,
            ask_peers: true,
            resume_elsewhere: true,
            serve_unlisted: true,
            home_models: true,
            follow_demand: true,
            warm_spares: true,
            retry_share: true,
            readers: true,
            // Where all start at once, 60 daemons list 225 boxes each as soon as readers would tell
            // them (0.42 s); the lists of 75 and 1,000 keep the store's link of 1 Gbit/s busy for
            // 0.4 s, at 670 bytes a box.
            note_readers_from: 75_000,
        }
    }
}
