//! Decides whether a daemon takes one more connection of a caller.

use crate::{LoadSample, MachineResource, Millis};

/// The share of the processor and of the link that callers' requests may use. Other duties of the
/// daemon take the rest.
const TARGET_USE: f64 = 0.93;

/// Below this share nobody is turned away, as a forecast from so little use is inaccurate.
const MIN_USE: f64 = 0.7;

/// From this share on a resource is used up. How much more was asked of it can't be seen, so it counts
/// as overdrawn.
const USED_UP: f64 = 0.98;
const OVERDRAWN: f64 = 1.25;

/// The share of memory and of descriptors above which new connections are turned away. Requests in
/// flight may still need more.
const MAX_HELD: f64 = 0.75;

/// The share of memory and of descriptors above which no connection is taken at all.
const FULL: f64 = 0.9;

/// The time over which samples are averaged: long enough to average the loop's work, short enough
/// that little is taken on meanwhile.
const SMOOTHING_TIME: Millis = Millis(200);

/// The longest time that one sample stands for. After a pause of the process one sample covers all
/// of it.
const MAX_SAMPLE_TIME: Millis = Millis(100);

/// The number of requests in flight that no machine is too small for.
const MIN_IN_FLIGHT: f64 = 16.0;

/// A connection is taken at least this often unless memory or descriptors are full, so that a daemon
/// that is ready does take connections.
const MAX_REFUSING_TIME: Millis = Millis(500);

/// How many times as many requests may be in flight before one on a kept connection is turned away.
const KEPT_PREFERENCE: f64 = 1.05;

/// After so many connections in a row were turned away the listener is closed, as turning each of them
/// away costs processor time as well.
const MAX_TURNED_AWAY: u32 = 3;

/// The listener is closed until about this share of the requests in flight has ended.
const ENDED_SHARE: f64 = 0.12;

/// The shortest and the longest time that the listener is closed.
const MIN_CLOSED_TIME: Millis = Millis(5);
const MAX_CLOSED_TIME: Millis = Millis(50);

/// A connection that is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnedAway {
    /// The resource that is short.
    pub resource: MachineResource,
    /// For how long the listener is to be closed, if at all.
    pub closed_for: Option<Millis>,
}

/// Averages of samples.
#[derive(Clone, Copy, Debug, Default)]
struct AverageLoad {
    at: Millis,
    in_flight: f64,
    busy: f64,
    link: f64,
    ended_per_s: f64,
}

impl AverageLoad {
    fn add(&mut self, sample: &LoadSample) {
        let time = sample.at.since(self.at).min(MAX_SAMPLE_TIME);
        let weight = 1.0 - (-(time.0 as f64) / SMOOTHING_TIME.0 as f64).exp();
        self.at = sample.at;
        self.in_flight += (f64::from(sample.in_flight) - self.in_flight) * weight;
        self.busy += (sample.busy - self.busy) * weight;
        self.link += (sample.link - self.link) * weight;
        self.ended_per_s += (sample.ended_per_s - self.ended_per_s) * weight;
    }

    /// Returns the time in which a share of the requests in flight ends.
    fn time_to_end(&self, share: f64) -> Millis {
        let ms = self.in_flight * share * 1_000.0 / self.ended_per_s.max(1.0);
        Millis(ms as u64)
    }

    /// Forecasts how many requests in flight a resource bears of which these use a share.
    fn max_in_flight(&self, used: f64) -> Option<f64> {
        let asked = if used >= USED_UP { OVERDRAWN } else { used };
        (used >= MIN_USE).then(|| (self.in_flight * TARGET_USE / asked).max(MIN_IN_FLIGHT))
    }
}

/// Turns new connections away, unread, before a resource of the machine runs out.
///
/// A request that has been let in goes on using the machine until it ends. So the gate doesn't wait
/// until the daemon is late: from what the requests in flight use it forecasts how many of them the
/// machine bears. What was let in is finished.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionGate {
    average: Option<AverageLoad>,
    memory: f64,
    descriptors: f64,
    last_taken: Millis,
    /// Connections turned away since one was taken or the listener was closed.
    turned_away: u32,
}

impl ConnectionGate {
    /// Records what the daemon uses of its machine.
    pub fn record(&mut self, sample: &LoadSample) {
        self.memory = sample.memory;
        self.descriptors = sample.descriptors;
        match &mut self.average {
            Some(average) => average.add(sample),
            None => {
                self.average = Some(AverageLoad { at: sample.at, ..AverageLoad::default() });
            }
        }
    }

    /// Decides about one more connection while `in_flight` requests are being served or are about to
    /// be read.
    ///
    /// # Errors
    ///
    /// Returns [`TurnedAway`] with the resource that is short.
    pub fn admit_connection(&mut self, now: Millis, in_flight: u32) -> Result<(), TurnedAway> {
        let is_due = now.since(self.last_taken) >= MAX_REFUSING_TIME && !self.is_full();
        if let Some(resource) = self.short_resource(f64::from(in_flight))
            && !is_due
        {
            return Err(self.turn_away(resource));
        }
        self.last_taken = now;
        self.turned_away = 0;
        Ok(())
    }

    /// Decides about one more request on a connection that was kept. These go before new connections,
    /// as they cost less.
    ///
    /// # Errors
    ///
    /// Returns the resource that is short.
    pub fn admit_kept(&self, in_flight: u32) -> Result<(), MachineResource> {
        let counted = f64::from(in_flight) / KEPT_PREFERENCE;
        self.short_resource(counted).map_or(Ok(()), Err)
    }

    fn turn_away(&mut self, resource: MachineResource) -> TurnedAway {
        self.turned_away += 1;
        let closes = self.turned_away >= MAX_TURNED_AWAY;
        if closes {
            self.turned_away = 0;
        }
        TurnedAway { resource, closed_for: closes.then(|| self.closed_time()) }
    }

    fn closed_time(&self) -> Millis {
        let time = self.average.map(|average| average.time_to_end(ENDED_SHARE));
        time.unwrap_or_default().clamp(MIN_CLOSED_TIME, MAX_CLOSED_TIME)
    }

    /// Returns the resource that one more request would be too much for.
    fn short_resource(&self, in_flight: f64) -> Option<MachineResource> {
        if self.memory >= MAX_HELD {
            return Some(MachineResource::Memory);
        }
        if self.descriptors >= MAX_HELD {
            return Some(MachineResource::Descriptors);
        }
        let average = self.average?;
        let exceeds =
            |used| average.max_in_flight(used).is_some_and(|bearable| in_flight >= bearable);
        let rates =
            [(MachineResource::Processor, average.busy), (MachineResource::Link, average.link)];
        rates.into_iter().find(|(_, used)| exceeds(*used)).map(|(resource, _)| resource)
    }

    fn is_full(&self) -> bool {
        self.memory >= FULL || self.descriptors >= FULL
    }
}
