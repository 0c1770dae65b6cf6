//! Which requests are refused when an organisation sends more than its limit.
//!
//! A limit in tokens leaves room for many small requests or for a few large ones. If all
//! were refused alike, most of the callers would be refused for the tokens of the largest
//! requests. So a request is admitted with a probability that falls with the square root of
//! its size, and urgent ones count as smaller. A steeper fall would admit nearly all small
//! requests of a flood, which load the endpoints more than their tokens say.

/// The number of size classes; each is twice as large as the one before.
const SIZE_CLASSES: usize = 12;

/// Weight that the earlier requests keep in the distribution of the tokens with each request.
const EARLIER_WEIGHT: f32 = 0.99;

/// Factors of the tokens of a request by its priority; the last one applies to all lower
/// priorities.
const URGENCY_FACTORS: [f64; 3] = [0.25, 0.5, 1.0];

/// The distribution of the tokens that an organisation asks for, over the sizes of its
/// requests.
#[derive(Clone, Debug)]
pub(super) struct SizeDistribution {
    tokens: [f32; SIZE_CLASSES],
}

impl SizeDistribution {
    /// A distribution without any request.
    pub fn new() -> SizeDistribution {
        SizeDistribution {
            tokens: [0.0; SIZE_CLASSES],
        }
    }

    /// Adds a request.
    pub fn add(&mut self, cost: f64, priority: u8) {
        for tokens in &mut self.tokens {
            *tokens *= EARLIER_WEIGHT;
        }
        self.tokens[size_class(weighted_size(cost, priority))] += cost as f32;
    }

    /// The probability with which to admit a request, so that `fraction` of all tokens is
    /// admitted.
    pub fn probability(&self, cost: f64, priority: u8, fraction: f64) -> f64 {
        if fraction >= 1.0 {
            return 1.0;
        }
        let total: f64 = self.tokens.iter().map(|tokens| f64::from(*tokens)).sum();
        let target = fraction * total;
        // The size up to which all requests are admitted, found class by class: the smaller
        // classes are admitted whole, the larger ones in inverse proportion to their size.
        let mut whole = 0.0;
        let mut per_size: f64 = (0..SIZE_CLASSES)
            .map(|class| f64::from(self.tokens[class]) / class_size(class))
            .sum();
        for class in 0..SIZE_CLASSES {
            let (tokens, size) = (f64::from(self.tokens[class]), class_size(class));
            if whole + per_size * size >= target {
                break;
            }
            whole += tokens;
            per_size -= tokens / size;
        }
        if per_size <= 0.0 {
            return 1.0;
        }
        let admitted_size = (target - whole) / per_size;
        let class = size_class(weighted_size(cost, priority));
        (admitted_size / class_size(class)).clamp(0.0, 1.0)
    }
}

fn weighted_size(cost: f64, priority: u8) -> f64 {
    let index = usize::from(priority).min(URGENCY_FACTORS.len() - 1);
    (cost * URGENCY_FACTORS[index]).sqrt()
}

fn size_class(size: f64) -> usize {
    let class = size.max(1.0).log2() as usize;
    class.min(SIZE_CLASSES - 1)
}

/// A typical size of a class.
fn class_size(class: usize) -> f64 {
    1.5 * (1u64 << class) as f64
}
