//! Hashes that are the same at every member and in every version.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the key of a member's name or a pod's address: 64-bit FNV-1a, followed by a mixing step.
pub fn stable_key(name: &str) -> u64 {
    let hash = name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Returns a key's pseudorandom position in the order that belongs to another key.
pub(crate) fn rank(key: u64, order_of: u64) -> u64 {
    mix(key ^ mix(order_of.wrapping_add(1)))
}

/// Output function of SplitMix64 (Steele, Lea, Flood 2014).
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
