//! A pseudo-random number generator.

/// Generates pseudo-random numbers from a given seed.
///
/// It uses SplitMix64, which needs only eight bytes of state.
#[derive(Clone, Copy, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// Returns a number below `bound`, or 0 where `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        ((u128::from(self.next_u64()) * bound as u128) >> 64) as usize
    }
}

/// Mixes the bits of a number.
pub fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Hashes bytes to 64 bits, the same in every process and version.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    mix(bytes.iter().fold(start, fold))
}
