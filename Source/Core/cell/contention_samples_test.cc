// Tests who counts as a neighbor during a measurement, and when it counts.
#include "cell/contention_samples.h"

#include <gtest/gtest.h>

#include <cmath>

namespace mustardslip {
namespace {

class ContentionSamplerTest : public testing::Test {
 protected:
  static constexpr ImageId kImageA = 1;
  static constexpr ImageId kImageB = 2;

  // Lists "a" with this share, and "b" if `with_neighbor`.
  std::vector<ContentionSample> Report(std::int64_t vm_ms, double percent,
                                       bool with_neighbor,
                                       bool neighbor_ended = false) {
    VmObservation observation;
    observation.m_vm = {"vm-0", 1};
    observation.m_vm_ms = vm_ms;
    observation.m_has_unknown_runs = m_unknown_runs;
    observation.m_running.push_back(
        {{{"1", 0, 0, 0}, 1}, "a", SampleKind::kProgress, 0, percent});
    std::vector<ImageId> images{kImageA};
    if (with_neighbor) {
      observation.m_running.push_back({{{"1", 0, 1, 0}, 1}, "b"});
      images.push_back(kImageB);
    }
    std::vector<ImageId> ended_images;
    if (neighbor_ended) {
      observation.m_ended.push_back({{{"1", 0, 1, 0}, 1}, "b"});
      ended_images.push_back(kImageB);
    }
    return m_sampler.Observe(observation, images, ended_images);
  }

  ContentionSampler m_sampler;
  bool m_unknown_runs = false;
};

// Fails if a neighbor counts that ran only for a part of the window, as seen
// from reports that lag behind: neither with it nor without it.
TEST_F(ContentionSamplerTest, ANeighborCountsOnlyForTheWholeWindow) {
  Report(1'000, 0, false);
  Report(1'500, 10, false);
  // Started somewhere between the two reports.
  auto samples = Report(2'000, 20, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_TRUE(samples[0].m_throughout.empty());
  EXPECT_EQ(samples[0].m_at_any_time, (ImageSet{kImageB}));
  samples = Report(2'500, 30, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_EQ(samples[0].m_throughout, (ImageSet{kImageB}));
  EXPECT_DOUBLE_EQ(samples[0].m_log_speed, std::log(10.0 / 500));
  // Ended somewhere between the two reports.
  samples = Report(3'000, 40, false, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_TRUE(samples[0].m_throughout.empty());
  EXPECT_EQ(samples[0].m_at_any_time, (ImageSet{kImageB}));
  samples = Report(3'500, 50, false);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_TRUE(samples[0].m_at_any_time.empty());
}

// Fails if a run that began and ended between two reports is overlooked.
TEST_F(ContentionSamplerTest, SeesRunsBetweenTwoReports) {
  Report(1'000, 0, false);
  Report(1'500, 10, false);
  const auto samples = Report(2'000, 20, false, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_TRUE(samples[0].m_throughout.empty());
  EXPECT_EQ(samples[0].m_at_any_time, (ImageSet{kImageB}));
}

// Fails if a delayed report changes what is known from a newer one.
TEST_F(ContentionSamplerTest, IgnoresDelayedReports) {
  Report(1'000, 0, true);
  Report(1'500, 10, true);
  EXPECT_TRUE(Report(1'200, 4, false).empty());
  const auto samples = Report(2'000, 20, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_EQ(samples[0].m_throughout, (ImageSet{kImageB}));
}

// Fails if a window spans a silence, in which anything may have run there.
TEST_F(ContentionSamplerTest, AWindowEndsWithASilence) {
  Report(1'000, 0, true);
  Report(1'500, 10, true);
  EXPECT_TRUE(Report(9'000, 50, true).empty());
  Report(9'500, 60, true);
  EXPECT_EQ(Report(10'000, 70, true).size(), 1U);
}

// Fails if a measurement counts during which an unknown run was on the VM.
TEST_F(ContentionSamplerTest, UnknownRunsSpoilAMeasurement) {
  Report(1'000, 0, false);
  Report(1'500, 10, false);
  m_unknown_runs = true;
  EXPECT_TRUE(Report(2'000, 20, false).empty());
  m_unknown_runs = false;
  EXPECT_TRUE(Report(2'500, 30, false).empty());
  EXPECT_EQ(Report(3'000, 40, false).size(), 1U);
}

// Fails if the time in which a run restores its checkpoint counts as slow.
TEST_F(ContentionSamplerTest, MeasuresFromTheFirstProgress) {
  Report(1'000, 40, false);
  EXPECT_TRUE(Report(1'500, 40, false).empty());
  EXPECT_TRUE(Report(2'000, 48, false).empty());
  const auto samples = Report(2'500, 58, false);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_DOUBLE_EQ(samples[0].m_log_speed, std::log(10.0 / 500));
}

}  // namespace
}  // namespace mustardslip
