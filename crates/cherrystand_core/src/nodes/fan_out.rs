//! How what is for all daemons gets to them without one of them telling each.

/// Up to this many others are told one by one.
const FLAT_UP_TO: usize = 64;

/// How many daemons of each part pass on what they are told: one may be lost, or its message.
const HEADS: usize = 2;

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
    if others.len() <= FLAT_UP_TO {
        return others.iter().map(|to| FanOutTarget { to: *to, forward_to: Vec::new() }).collect();
    }
    let size = (others.len() as f64).sqrt().ceil() as usize;
    let parts = others.chunks(size).flat_map(|part| {
        let heads = part.iter().step_by(part.len().div_ceil(HEADS).max(1)).copied();
        heads.map(|to| {
            let pass_on_to = part.iter().copied().filter(|other| *other != to).collect();
            FanOutTarget { to, forward_to: pass_on_to }
        })
    });
    parts.collect()
}
