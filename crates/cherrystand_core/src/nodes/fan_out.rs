//! How what is for all daemons gets to them without one of them telling each.

/// Up to this many others are told one by one.
const MAX_DIRECT: usize = 64;

/// How many daemons of each part pass on what they are told: one may be lost, or its message.
const FORWARDERS_PER_GROUP: usize = 2;

/// One who is told, and those to whom it passes that on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FanOutTarget<A> {
    /// Who is told.
    pub to: A,
    /// To whom it passes that on; nobody where there are few.
    pub forward_to: Vec<A>,
}

/// Divides all others among those that one daemon tells.
///
/// Many are divided into as many parts as each part has members, so that nobody tells more than about twice the
/// root of their number, and news takes two steps. Two of each part are told, so that most hear it twice.
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
