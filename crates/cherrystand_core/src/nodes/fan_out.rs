//! Distribution of a message to all daemons without one of them sending it to each.

/// Up to this many daemons are each sent the message directly.
const MAX_DIRECT: usize = 64;

/// How many daemons of each group forward the message: two, since one of them or its message may be
/// lost.
const FORWARDERS_PER_GROUP: usize = 2;

/// A direct recipient of a message and the daemons to which it forwards it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FanOutTarget<A> {
    /// The direct recipient.
    pub to: A,
    /// To whom it forwards the message; empty if the sender reaches all daemons directly.
    pub forward_to: Vec<A>,
}

/// Plans how a message is distributed to all other daemons.
///
/// Up to 64 daemons are sent it directly. More are divided into about as many groups as each group
/// has members, so that nobody sends more than about twice the square root of their number and a
/// message takes two hops. Two daemons of each group forward it, so that most receive it twice.
pub fn fan_out<A: Copy + PartialEq>(others: &[A]) -> Vec<FanOutTarget<A>> {
    if others.len() <= MAX_DIRECT {
        return others.iter().map(|to| FanOutTarget { to: *to, forward_to: Vec::new() }).collect();
    }
    let size = (others.len() as f64).sqrt().ceil() as usize;
    let groups = others.chunks(size).flat_map(|group| {
        let forwarders =
            group.iter().step_by(group.len().div_ceil(FORWARDERS_PER_GROUP).max(1)).copied();
        forwarders.map(|to| {
            let forward_to = group.iter().copied().filter(|other| *other != to).collect();
            FanOutTarget { to, forward_to }
        })
    });
    groups.collect()
}
