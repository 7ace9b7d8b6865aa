//! A set of digests of fixed size, in buckets whose oldest digest is replaced by a new one.

use xxhash_rust::xxh3::xxh3_64;

const BUCKET_COUNT: usize = 2_048;
/// A bucket is a count of the digests that it ever took, followed by the digests.
const WORDS_PER_BUCKET: usize = 16;
const DIGESTS_PER_BUCKET: usize = WORDS_PER_BUCKET - 1;
const WORD_BYTES: usize = size_of::<u64>();
/// Size of one bucket in bytes.
pub const BUCKET_BYTES: usize = WORDS_PER_BUCKET * WORD_BYTES;
/// Size of a table in bytes.
pub const TABLE_BYTES: usize = BUCKET_COUNT * BUCKET_BYTES;

/// The digest of a request id; never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// The digest of a request id. All processes compute the same one.
    pub fn of(id: &[u8]) -> Self {
        RequestDigest(xxh3_64(id).max(1))
    }
}

/// The digests that share one place in the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    inserted_count: u64,
    digests: [u64; DIGESTS_PER_BUCKET],
}

impl Bucket {
    /// Whether the bucket contains this digest.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.digests.contains(&digest.0)
    }

    /// Adds a digest in place of the oldest one.
    pub fn insert(&mut self, digest: RequestDigest) {
        self.digests[(self.inserted_count % DIGESTS_PER_BUCKET as u64) as usize] = digest.0;
        self.inserted_count += 1;
    }

    /// Removes a digest.
    pub fn remove(&mut self, digest: RequestDigest) {
        for slot in self.digests.iter_mut().filter(|slot| **slot == digest.0) {
            *slot = 0;
        }
    }

    /// The bucket as it is written to a file.
    pub fn to_bytes(self) -> [u8; BUCKET_BYTES] {
        let mut bytes = [0; BUCKET_BYTES];
        let words = std::iter::once(self.inserted_count).chain(self.digests);
        for (target, word) in bytes.chunks_exact_mut(WORD_BYTES).zip(words) {
            target.copy_from_slice(&word.to_le_bytes());
        }
        bytes
    }

    /// The bucket that was written as these bytes.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let mut words = bytes.chunks_exact(WORD_BYTES).map(|word| {
            let word: [u8; WORD_BYTES] = word.try_into().unwrap_or_default();
            u64::from_le_bytes(word)
        });
        let inserted_count = words.next().unwrap_or_default();
        let mut digests = [0; DIGESTS_PER_BUCKET];
        for (target, word) in digests.iter_mut().zip(words) {
            *target = word;
        }
        Bucket { inserted_count, digests }
    }
}

/// All buckets.
#[derive(Debug)]
pub struct IdTable(Vec<Bucket>);

impl Default for IdTable {
    fn default() -> Self {
        IdTable(vec![Bucket::default(); BUCKET_COUNT])
    }
}

impl IdTable {
    /// The table that was written as these bytes; missing buckets are empty.
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        let mut table = IdTable::default();
        for (bucket, bytes) in table.0.iter_mut().zip(bytes.chunks_exact(BUCKET_BYTES)) {
            *bucket = Bucket::from_bytes(bytes);
        }
        table
    }

    /// The index of the bucket of a digest.
    pub fn bucket_index(digest: RequestDigest) -> usize {
        digest.0 as usize % BUCKET_COUNT
    }

    /// The bucket of a digest.
    pub fn bucket(&self, digest: RequestDigest) -> &Bucket {
        &self.0[Self::bucket_index(digest)]
    }

    /// The bucket of a digest.
    pub fn bucket_mut(&mut self, digest: RequestDigest) -> &mut Bucket {
        &mut self.0[Self::bucket_index(digest)]
    }
}
