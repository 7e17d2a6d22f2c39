//! Switches for single decisions, so that the effect of each can be measured.

use serde::Deserialize;

/// How the replica for a request is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceRule {
    /// The one with the highest expected credit among a few random ones.
    #[default]
    ExpectedCredit,
    /// The one with the earliest predicted first event.
    Earliest,
    /// The one with the fewest requests in flight.
    FewestInFlight,
    /// The one with the earlier predicted first event of two random ones.
    TwoAtRandom,
}

/// Switches decisions on and off.
///
/// Source: docs/MEASURES.md.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How the replica for a request is chosen.
    pub choice: ChoiceRule,
    /// The cost of an answer from another zone, as a share of the request's credit.
    pub far_cost: f64,
    /// Whether requests that are likely to be late are queued behind those that can still be in
    /// time.
    pub defer_late: bool,
    /// Whether this daemon reports to peers what it has in flight.
    pub tell_loads: bool,
    /// Whether peers are asked before a replica is considered stalled.
    pub ask_peers: bool,
    /// Whether broken streams are resumed at another replica.
    pub resume_elsewhere: bool,
    /// Whether a replica keeps serving while the store entry of a member has expired.
    pub serve_unlisted: bool,
    /// Whether each domain serves a single model, its home model.
    pub home_models: bool,
    /// Whether domains are reassigned to other models by measured demand; otherwise the configured
    /// work shares decide.
    pub follow_demand: bool,
    /// Whether spare boxes load their model into memory in advance.
    pub warm_spares: bool,
    /// Whether each daemon keeps to its share of the retry budget.
    pub retry_share: bool,
    /// Whether peers carry requests to endpoints that this daemon's own link doesn't reach.
    pub carry: bool,
    /// Whether new connections are turned away while a resource of the machine is short.
    pub turn_away: bool,
    /// Whether most daemons read from a reader of their zone instead of the store.
    pub readers: bool,
    /// From this product of daemons and boxes on, the store names the readers to daemons that
    /// start.
    pub note_readers_from: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            choice: ChoiceRule::default(),
            // 3.5 KB per request, at the users' price of bytes, are 0.01 to 0.03 of its credit.
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
            carry: true,
            turn_away: true,
            readers: true,
            // When all daemons start at once, 60 daemons list 225 boxes each as fast as readers
            // would send them (0.42 s); the lists of 75 daemons and 1,000 boxes, at 670 bytes a
            // box, keep the store's link of 1 Gbit/s busy for 0.4 s.
            note_readers_from: 75_000,
        }
    }
}
