-- borne-verte.lua: drivers look for a charger that works now.
--
-- Staleness first: outdated guidance can send a driver to a dead charger, so
-- answers come from the newest weights even when an older engine is idle.

local DRIVER_PRIORITY = 20
local SUMMARY_PRIORITY = 5
local ROLLOUT_PRIORITY = 0
local VERSIONS_BEHIND_MOST = 1

local function oldest_allowed(request)
  return math.max(request.newest_version - VERSIONS_BEHIND_MOST, 0)
end

function admit(request)
  local min_version = oldest_allowed(request)

  if request.rollout then
    return { priority = ROLLOUT_PRIORITY, min_version = min_version }
  end

  if request.kind == "summary" then
    -- Nobody stands at the roadside for a summary of outages: at a shift
    -- change it makes room for the drivers.
    if request.event_active and request.waiting > 100 then
      return { refuse = "shift change: ask again later", retry_after_ms = 30000 }
    end
    return { priority = SUMMARY_PRIORITY, min_version = min_version }
  end

  if request.estimated_wait_ms > request.deadline_ms then
    return { refuse = "wait is longer than the deadline" }
  end
  return { priority = DRIVER_PRIORITY, min_version = min_version }
end

function score(request, engine)
  -- Each version behind costs more than a full engine.
  local behind = math.max(request.newest_version - engine.weight_version, 0)
  local result = 0.4 * engine.prefix_match - engine.load - 2.0 * behind
  if engine.same_zone then
    result = result + 0.15 -- the zones are one and a half milliseconds apart
  end
  return result - 0.2 * math.min(engine.recent_failures, 5)
end

-- Tokens of old weights are worth little: go on only when the sample is nearly
-- done, and start again when another version would pass the bound.
function on_weights(sample)
  local age = sample.trainer_version - sample.started_version
  if age >= sample.staleness_bound then
    return "restart"
  end
  if sample.expected_tokens > 0 and sample.generated_tokens >= 0.9 * sample.expected_tokens then
    return "wait"
  end
  return "resume"
end

function cases()
  return {
    {
      name = "driver at the roadside",
      request = { kind = "route", newest_version = 12 },
      expect = { refuse = false, priority = 20, min_version = 11 },
    },
    {
      name = "summary during a shift change",
      request = { kind = "summary", event_active = true, waiting = 400 },
      expect = { refuse = true },
    },
    {
      name = "Rollout on fresh weights",
      request = { rollout = true, kind = "rollout", newest_version = 12 },
      expect = { priority = 0, min_version = 11 },
    },
    { name = "first weights", request = { newest_version = 0 }, expect = { min_version = 0 } },
  }
end
