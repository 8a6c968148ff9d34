//! A hash that gives the same value in every process and release.
//!
//! Algorithm: FNV-1a over the bytes, then the finalizer of SplitMix64 (Steele,
//! Lea, Flood: "Fast Splittable Pseudorandom Number Generators", 2014), which
//! spreads neighbouring inputs.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of several byte strings, each with its end marked.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        hash = (hash ^ 0xff).wrapping_mul(FNV_PRIME);
    }
    mix_bits(hash)
}

/// Spreads a number over all 64 bits.
pub fn mix_bits(seed: u64) -> u64 {
    let mut bits = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
