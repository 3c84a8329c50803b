#include "stream/whole.h"

enum whole_verdict whole_judge(const struct whole_facts *f)
{
	if (f->partial_event)
		return WHOLE_CUT_OFF;
	if (f->framed)
		return WHOLE_COMPLETE;
	if (f->stopped || f->process == WHOLE_PROCESS_OTHER)
		return WHOLE_CUT_OFF;
	return f->process == WHOLE_PROCESS_SAME ? WHOLE_COMPLETE
						: WHOLE_UNVERIFIED;
}
