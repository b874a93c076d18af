-- The policy in force until operators accept another one.
--
-- A lookup goes to the least loaded worker, near ones first; a sample to the least loaded one too, but stays with
-- its group while that worker keeps the group's prompt.

local ZONE_BONUS = 0.1
local PROMPT_BONUS = 0.15
local FAILURE_COST = 0.2

function score(request, engine)
  local result = PROMPT_BONUS * engine.prefix_match - engine.load - FAILURE_COST * math.min(engine.recent_failures, 5)
  if engine.same_zone then
    result = result + ZONE_BONUS
  end
  return result
end
